#!/usr/bin/env bash
# Builds what the scripts of this review start besides the daemon, which the build of the deploy file makes
# (npm run --silent setup && npm run --silent bundle). The stand-ins are plain modules for Node: they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/run.mjs; do
  node --check "$file"
done
[ -f ../target/primrosed.cjs ] || {
  echo "target/primrosed.cjs is missing: run the build of the deploy file first" >&2
  exit 1
}
