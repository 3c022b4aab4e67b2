#!/usr/bin/env bash
# Builds what the scripts of this review start, after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(charts common decisions gateway node protocol router testkit)
aliases=(
  --alias:@lycheetally/platform=./platform/src/index.ts
  --alias:ts-results=./scripts/deployResults.mjs
)
for name in "${packages[@]}"; do
  aliases+=("--alias:@lycheetally/$name=./packages/$name/src/index.ts")
done
banner="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
for folder in review/{6,7,8,9,10}; do
  [ -f "$folder/case.ts" ] || continue
  for source in "$folder"/*.ts; do
    node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm \
      --target=node20 "${aliases[@]}" --banner:js="$banner" --log-level=warning \
      --outfile="target/review-2/${folder#review/}/$(basename "$source" .ts).mjs"
  done
done
