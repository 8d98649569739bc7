# Installs the packages of a router process and their libraries, pinned by
# constraints.txt, into target/deps.
set -eu
stamp=target/deps/.sources
sources=$(cat deploy/build.sh constraints.txt packages/*/pyproject.toml \
    platform/pyproject.toml | cksum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$sources" ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -c constraints.txt \
        'absl-py' 'aioprometheus' 'circuits' 'fire' 'httptools' \
        'pycapnp' 'sortedcontainers' 'xxhash'
    echo "$sources" > "$stamp"
fi
for package in kernel wire net router gateway; do
    rm -rf "target/deps/bramleysill_$package"
    cp -r "packages/$package/src/bramleysill_$package" target/deps/
done
rm -rf target/deps/bramleysill_platform
cp -r platform/src/bramleysill_platform target/deps/
