#!/usr/bin/env bash
# Regenerates the committed gRPC code from the .proto files. Needs protoc; the two
# plug-ins are pinned as tools in go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative *.proto
# The plug-ins write protoc's own version into a comment, which differs between machines.
sed -i -E '/^\/\/ (- )?\t?protoc +v/d' *.pb.go
