#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are
# plain modules (review/support-3) that need no step; what is checked is that they
# parse, and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
for file in review/support-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
[ -e target/cuminvale.cjs ] || { echo 'the build of the deploy file is missing'; exit 1; }
