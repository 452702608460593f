#!/usr/bin/env bash
# Builds the programs of the cases and of the other tests of the review, with the project's own stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for program in review/[1-5]/*/main.go review/known/*/*/main.go; do
  folder=$(dirname "$program")
  go build -tags review -o "review/bin/$(basename "$folder")" "./$folder"
done
