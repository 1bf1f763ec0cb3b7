#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec node case.mjs record.txt
