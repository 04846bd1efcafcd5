#!/bin/bash
# Builds the stand-ins of the review's scripts as target/review-standin.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -tags review -c -o target/review-standin ./review/standin
