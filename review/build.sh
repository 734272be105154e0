#!/bin/sh
# Builds the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/testdata/rig
