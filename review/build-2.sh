#!/bin/sh
# Builds the stand-ins and cases of the second review.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review-second ./second
