#!/usr/bin/env bash
# Writes to record.txt in this folder what was sent, answered and run.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec node run.mjs
