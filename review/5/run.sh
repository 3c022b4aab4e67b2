#!/usr/bin/env bash
# Runs the case against the built gateway; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review/5.mjs review/5/record.txt
