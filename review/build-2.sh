#!/bin/sh
# Builds the stand-ins and the cases of this review. Run it after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-ins/*.java
