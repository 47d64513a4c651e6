#!/bin/sh
# Builds the stand-ins of the scripts; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-classes
javac -d target/review-classes review/stand/*.java
