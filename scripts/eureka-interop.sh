#!/usr/bin/env bash
# Drives the stand-in Eureka registry with a client that others wrote (eureka-js-client), and reads with ours what that has
# registered, and the other way round. Nothing of theirs enters the repository: the client is installed into a folder of
# its own, EUREKA_CLIENT_DIR or a temporary one. Ends with 0 where all held, 1 where not, and 77 where there is no node
# or no client to be had, which is no success.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.5.0
skip() { echo "SKIPPED: $1" >&2; exit 77; }
command -v node >/dev/null || skip "node is not there"
command -v npm >/dev/null || skip "npm is not there"
work=$(mktemp -d)
served=
trap '[ -z "$served" ] || kill "$served" 2>/dev/null || true; rm -rf "$work"' EXIT
client=${EUREKA_CLIENT_DIR:-$work/client}
mkdir -p "$client"
if [ ! -e "$client/node_modules/eureka-js-client/package.json" ]; then
	timeout 90 npm install --prefix "$client" --no-audit --no-fund --no-save --ignore-scripts --loglevel=error \
		"eureka-js-client@$version" >"$work/npm" 2>&1 || { tail -3 "$work/npm" >&2; skip "eureka-js-client $version could not be installed"; }
fi
rudderlab=${RUDDERLAB:-$work/rudderlab}
[ -n "${RUDDERLAB:-}" ] || go build -o "$rudderlab" ./cmd/rudderlab
for form in "" --older; do
	"$rudderlab" eurekad serve --listen 127.0.0.1:0 $form >"$work/url" &
	served=$!
	for _ in $(seq 100); do [ -s "$work/url" ] && break; sleep 0.1; done
	[ -s "$work/url" ] || { echo "the registry did not start" >&2; exit 1; }
	echo "registry${form:+ with the older JSON} against eureka-js-client $version, node $(node --version)"
	NODE_PATH="$client/node_modules" NODE_NO_WARNINGS=1 timeout 120 node internal/lab/eurekad/testdata/interop.js "$(cat "$work/url")" "$rudderlab"
	kill "$served"
	wait "$served" || true
	served=
done
