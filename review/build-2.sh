#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard
# library only. The line of deploy/system.toml builds the program under test.
set -e
cd "$(dirname "$0")/.."
go build -o target/world ./review/testdata/world
