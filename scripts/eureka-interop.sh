#!/usr/bin/env bash
# Drives the stand-in Eureka registry with clients that others wrote (eureka-js-client for Node, hudl/fargo for Go), reads
# with ours what those have registered, and has theirs find ours. Nothing of theirs enters the repository: they are
# installed into a folder of their own, EUREKA_CLIENT_DIR or a temporary one. Ends with 0 where all held with both, 1
# where something did not, and 77 where a client was not to be had, which is no success: the other has run then.
set -euo pipefail
cd "$(dirname "$0")/.."
js=4.5.0
go=v1.4.0
skipped=
skip() { echo "SKIPPED: $1" >&2; skipped=yes; }
work=$(mktemp -d)
served=
trap '[ -z "$served" ] || kill "$served" 2>/dev/null || true; rm -rf "$work"' EXIT
client=${EUREKA_CLIENT_DIR:-$work/client}
mkdir -p "$client/fargo"
rudderlab=${RUDDERLAB:-$work/rudderlab}
[ -n "${RUDDERLAB:-}" ] || go build -o "$rudderlab" ./cmd/rudderlab

serve() { # ARGUMENTS...: sets url
	: >"$work/url"
	"$rudderlab" eurekad serve --listen 127.0.0.1:0 "$@" >"$work/url" &
	served=$!
	for _ in $(seq 100); do [ -s "$work/url" ] && break; sleep 0.1; done
	[ -s "$work/url" ] || { echo "the registry did not start" >&2; exit 1; }
	url=$(cat "$work/url")
}
end() { kill "$served"; wait "$served" || true; served=; }

node_client() {
	command -v node >/dev/null && command -v npm >/dev/null || { skip "node and npm are not there"; return; }
	if [ ! -e "$client/node_modules/eureka-js-client/package.json" ]; then
		timeout 90 npm install --prefix "$client" --no-audit --no-fund --no-save --ignore-scripts --loglevel=error \
			"eureka-js-client@$js" >"$work/log" 2>&1 || { tail -3 "$work/log" >&2; skip "eureka-js-client $js could not be installed"; return; }
	fi
	for form in "" --older; do
		serve $form
		echo "registry${form:+ with the older JSON} against eureka-js-client $js, node $(node --version)"
		NODE_PATH="$client/node_modules" NODE_NO_WARNINGS=1 timeout 120 node internal/lab/eurekad/testdata/interop.js "$url" "$rudderlab"
		end
	done
}

go_client() {
	cp internal/lab/eurekad/testdata/fargo/main.go "$client/fargo/"
	(
		cd "$client/fargo"
		[ -e go.mod ] || { go mod init interop && go get "github.com/hudl/fargo@$go"; }
		go build -o fargo .
	) >"$work/log" 2>&1 || { tail -3 "$work/log" >&2; skip "hudl/fargo $go could not be built"; return; }
	serve
	echo "registry against hudl/fargo $go"
	timeout 120 "$client/fargo/fargo" "$url" "$rudderlab"
	end
}

node_client
go_client
[ -z "$skipped" ] || exit 77
