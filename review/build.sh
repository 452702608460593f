#!/usr/bin/env bash
# Builds the programs of the cases, with the project's own stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[1-5]/*/main.go; do
  folder=$(dirname "$case")
  go build -tags review -o "review/bin/$(basename "$folder")" "./$folder"
done
