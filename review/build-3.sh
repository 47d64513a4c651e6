#!/bin/sh
# Builds the stand-ins and cases of this review; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/rig-3/*.java $(find review/11 review/12 review/13 review/14 review/15 -name '*.java' 2>/dev/null)
