#!/bin/sh
# Builds the stand-ins of the third review's scripts. It needs no network: the module has no dependencies.
cd "$(dirname "$0")" && go build -o ../target/review-third ./third
