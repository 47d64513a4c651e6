#!/bin/sh
# Builds the stand-ins and scenarios of this review into target/review-2; needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-2/*.java
