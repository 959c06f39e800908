#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
[ -x "$root/target/pewterrudder" ] && [ -x "$root/review/bin/rig" ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec "$root/review/bin/rig" drain "$root" "$folder"
