#!/bin/bash
# Regenerates the committed protobuf and gRPC code from every .proto file of the product.
set -euo pipefail
cd "$(dirname "$0")/.."
for proto in $(git ls-files -co --exclude-standard 'cuminfield/*.proto'); do
  protoc --cpp_out=. "$proto"
  if grep -q '^service ' "$proto"; then
    protoc --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$proto"
  fi
done
