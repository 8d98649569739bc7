#!/bin/sh
# Copies the project's own stand-ins for the users' platform beside what the
# build of the deploy file puts into target/deps. Run that build first.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
cp -r platform/soak/bramleysill_soak target/review/
