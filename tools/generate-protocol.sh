#!/usr/bin/env bash
# Generates the gRPC code of basilport-protocol from peer.proto.
# With --check it compares the result with the committed code and exits with 1 when they differ. When the
# generators are not available from the Maven repository, --check prints a message and exits with 0, because
# the build uses the committed code and needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly PROTOC_VERSION=3.25.9
readonly GRPC_VERSION=1.83.0
readonly TARGET=basilport-protocol/src/generated/java
repository=${MAVEN_REPOSITORY:-$HOME/.m2/repository}
case $(uname -m) in
  aarch64 | arm64) platform=linux-aarch_64 ;;
  *) platform=linux-x86_64 ;;
esac
readonly platform

fetch() { # arguments: path of the artifact in the repository, Maven coordinates
  if [ ! -f "$repository/$1" ]; then
    mvn -B -q dependency:get -Dtransitive=false -Dartifact="$2" >/dev/null 2>&1 || return 1
  fi
  [ -f "$repository/$1" ]
}

protoc_path=com/google/protobuf/protoc/$PROTOC_VERSION/protoc-$PROTOC_VERSION-$platform.exe
plugin_path=io/grpc/protoc-gen-grpc-java/$GRPC_VERSION/protoc-gen-grpc-java-$GRPC_VERSION-$platform.exe
if ! fetch "$protoc_path" "com.google.protobuf:protoc:$PROTOC_VERSION:exe:$platform" ||
    ! fetch "$plugin_path" "io.grpc:protoc-gen-grpc-java:$GRPC_VERSION:exe:$platform"; then
  echo "generate-protocol: generators not available, nothing checked"
  [ "${1:-}" = "--check" ] && exit 0
  exit 1
fi

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp "$repository/$protoc_path" "$scratch/protoc"
cp "$repository/$plugin_path" "$scratch/protoc-gen-grpc-java"
chmod +x "$scratch/protoc" "$scratch/protoc-gen-grpc-java"
mkdir "$scratch/out"
"$scratch/protoc" --plugin="protoc-gen-grpc-java=$scratch/protoc-gen-grpc-java" \
  --java_out="$scratch/out" --grpc-java_out="@generated=omit:$scratch/out" \
  -I basilport-protocol/src/main/proto basilport-protocol/src/main/proto/peer.proto

if [ "${1:-}" = "--check" ]; then
  if ! diff -r --exclude=package-info.java "$scratch/out" "$TARGET" >/dev/null; then
    echo "generate-protocol: committed code differs from peer.proto; run tools/generate-protocol.sh"
    exit 1
  fi
  echo "generate-protocol: committed code is up to date"
else
  mkdir -p "$TARGET"
  cp -r "$scratch/out/." "$TARGET/"
fi
