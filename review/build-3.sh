#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They use the standard
# library only. The line of deploy/system.toml builds the program under test.
set -e
cd "$(dirname "$0")/.."
go build -o target/stage ./review/testdata/stage
