#!/usr/bin/env bash
# Runs the case against the built gateway; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review/4.mjs review/4/record.txt
