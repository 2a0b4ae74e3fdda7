#!/usr/bin/env bash
# Runs a mesh on loopback until Ctrl-C: one core process, one sidecar, one endpoint. See README.md beside it.
set -euo pipefail
cd "$(dirname "$0")/../../.."
example=docs/operate/example
go build -buildvcs=false -o bin/ ./cmd/...
go build -buildvcs=false -o bin/ ./$example/endpoint
QUINCEGAP_NODE_FILE=$example/core.toml bin/controlplane & core=$!
QUINCEGAP_NODE_FILE=$example/sidecar.toml bin/sidecar & sidecar=$!
bin/endpoint 2>/dev/null & endpoint=$! # it calls again until the sidecar is there
# In order: the endpoint deregisters, then the sidecar and the core process end.
end() {
	trap - EXIT INT TERM
	kill -INT $endpoint 2>/dev/null || true; wait $endpoint || true
	kill $sidecar 2>/dev/null || true; wait $sidecar || true
	kill $core 2>/dev/null || true; wait $core || true
}
trap end EXIT INT TERM
for _ in {1..50}; do # until the core process answers, ten seconds at most
	! bin/meshctl --core 127.0.0.1:8105 members >/dev/null 2>&1 || break
	sleep 0.2
done
bin/meshctl --core 127.0.0.1:8105 config apply $example/configuration.json
cat <<'TEXT'

A mesh serves. In another terminal:

  curl -i http://127.0.0.2:8106/trips -H 'Host: trips.example.org' -H 'Attempt-Id: 1' -H 'Time-Remaining: 2500'
  bin/meshctl --core 127.0.0.1:8105 endpoints

Ctrl-C ends it.
TEXT
wait $core
