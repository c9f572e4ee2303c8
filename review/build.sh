#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules in review/support, which
# need no build; this only checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/support/*.mjs review/[0-9]/*.mjs; do
  node --check "$module"
done
