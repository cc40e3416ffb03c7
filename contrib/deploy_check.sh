#!/usr/bin/env bash
# Builds as deploy/system.toml says, in a fresh clone, and checks the settings
# template with example values.
set -euo pipefail
cd "$(dirname "$0")/.."

clone=$(mktemp -d)
trap 'rm -rf "$clone"' EXIT
git clone -q . "$clone"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
(cd "$clone" && sh -c "$build") >"$clone.log" 2>&1 || {
  tail -20 "$clone.log"
  exit 1
}
rm -f "$clone.log"

sed -e 's/{{#\([a-z_.]*\)}}\(.*\){{\.}}\(.*\){{\/[a-z_.]*}}/\2{{\1}}\3/' \
  -e 's/{{node_name}}/vm-1/; s/{{zone}}/a/; s/{{ip}}:{{port_range.0}}/127.0.0.1:7000/' \
  -e 's/{{listen\.[a-z]*}}/127.0.0.1:8000/; s/{{platform.address}}/127.0.0.1:8001/' \
  -e 's/{{advice}}/127.0.0.1:8002/; s/{{bounds.max_hold_ms}}/10000/' \
  -e 's/{{limits.cpu_share}}/0.25/; s/{{limits.link_mbps}}/1000.0/' \
  -e 's/{{cloud.address}}/127.0.0.1:8003/; s/{{bounds.lease_ms}}/3000/' \
  -e 's/{{bounds.maintenance_s}}/1.5/; s/{{bounds.contact_ms}}/3000/' \
  -e 's/{{heartbeat_ms}}/1500/; s/{{platform.value_bytes}}/1048576/' \
  -e 's/{{bounds.grace_s}}/6/; s/{{bounds.status_s}}/120/' \
  deploy/settings.template.toml >"$clone/settings.toml"
if grep -n '{{' "$clone/settings.toml"; then
  echo "deploy: a placeholder of the template has no example value"
  exit 1
fi
"$clone/target/curranttackd/curranttackd" --check --config "$clone/settings.toml"

# A platform without what some deployments lack.
sed -e '/{{#/d' -e 's/{{listen\.[a-z]*}}/127.0.0.1:8000/' \
  -e 's/{{node_name}}/vm-1/; s/{{zone}}/a/; s/{{ip}}:{{port_range.0}}/127.0.0.1:7000/' \
  -e 's/{{platform.address}}/127.0.0.1:8001/; s/{{limits.cpu_share}}/1/' \
  -e 's/{{bounds.grace_s}}/6.5/' \
  deploy/settings.template.toml >"$clone/settings.toml"
"$clone/target/curranttackd/curranttackd" --check --config "$clone/settings.toml"
