#!/usr/bin/env bash
# Builds the programs of the cases into target/review/, after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
aliases=(--alias:ts-results=./scripts/deployResults.mjs --alias:@lycheetally/platform=./platform/src/index.ts)
for name in charts common decisions gateway node protocol router testkit; do
  aliases+=("--alias:@lycheetally/$name=./packages/$name/src/index.ts")
done
banner="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
for program in review/[1-5]/case.ts; do
  number=$(basename "$(dirname "$program")")
  node_modules/.bin/esbuild "$program" --outfile="target/review/$number.mjs" --log-level=warning \
    --bundle --platform=node --format=esm --target=node20 "--banner:js=$banner" "${aliases[@]}"
done
