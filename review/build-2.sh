#!/bin/sh
# The stand-ins of the second review are scripts for Node.js without dependencies: there is nothing to compile, only to check.
cd "$(dirname "$0")" || exit 1
for file in support-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs; do node --check "$file" || exit 1; done
