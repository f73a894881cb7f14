# Build, test, lint and run larchdale.
.PHONY: build test lint run example example-registry measure-registry measure-deployments measure-view measure-sites \
	measure-shards measure-discovery-outage measure-growth measure-capacity capacity-page lay-unlock soak

build:
	cargo build --release --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# All tests but those of KNOWN-RED.txt; then those apart, whose failure is passed over.
test: lint build
	sh tools/check-known-red.sh
	sh tools/known-red.sh

# The seeded soak by hand: SEEDS plays from the seed FROM on, three side by side.
SEEDS ?= 50
FROM ?= 1
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_FROM=$(FROM) cargo test --locked --test soak --test soak_pauses -- --nocapture

# The proxy of the configuration that PROXY_CONFIG names, or else of the example.
run: build
	PROXY_CONFIG="$${PROXY_CONFIG:-examples/config.json}" target/release/larchdale

# A proxy with toy endpoints and a toy client, all on loopback, for some seconds.
example: build
	cargo build --locked --example toy_server
	sh examples/play.sh

# A registry, endpoints and a proxy on loopback: an edge cache is drained, and its work stops.
example-registry: build
	cargo build --release --locked -p larchdale-test-support
	sh examples/play-registry.sh

# Aim beside figure for the registry; BEFORE names an earlier program to compare the idle one with.
measure-registry: build
	cargo build --release --locked -p larchdale-test-support
	target/release/measure-registry target/release/larchdale $(BEFORE)

# The fleet's own view: aim beside figure for 5, 20 and 100 instances, then what a datagram costs.
measure-view:
	cargo build --release --locked -p larchdale-test-support --bin measure-view
	target/release/measure-view
	cargo bench --locked -p larchdale-test-support --bench gossip

# Moves of shards: bytes against the least, a night at 10,000 shards, and the hit share of six real instances.
measure-shards: build
	cargo build --release --locked -p larchdale-test-support --bin measure-shards
	target/release/measure-shards target/release/larchdale

# Splits ahead of time on generated histories of 10,000 shards.
measure-growth:
	cargo build --release --locked -p larchdale-test-support --bin measure-growth
	target/release/measure-growth

# What each role costs as the fleet grows, and what that comes to at the size to come, beside what it may cost: slopes in
# one process, real instances and hollow ones on loopback. Writes docs/capacity.json and the tables of docs/CAPACITY.md.
# QUICK=--quick: small sizes, in seconds; writes nothing.
measure-capacity: build
	cargo build --release --locked -p larchdale-fleet-simulation
	target/release/measure-capacity target/release/larchdale $(QUICK)

# The tables of docs/CAPACITY.md anew from docs/capacity.json; measures nothing.
capacity-page:
	cargo run --release --locked -p larchdale-fleet-simulation --bin measure-capacity -- target/release/larchdale --page

# A site's loss and return with the plan on and off: aim beside figure, by six processes and a hundred simulated instances.
measure-sites: build
	cargo build --release --locked -p larchdale-test-support --bin measure-sites
	target/release/measure-sites target/release/larchdale

# What outages of discovery cost in shares served, response times and fetches; BEFORE names an earlier program to play in turn.
measure-discovery-outage: build
	cargo build --release --locked -p larchdale-test-support --bin measure-discovery-outage
	target/release/measure-discovery-outage $(BEFORE) target/release/larchdale

# The quick score of both deployments on real sockets, one line each; needs the kit beside the repository.
KIT ?= ../given/kit
WHY ?= Quick score of both deployments with the program as it stands.
measure-deployments: build
	@for site in $(KIT)/sites/cascadia-archive.toml:$(KIT)/more/ops/bin/lbreal $(KIT)/users/branch-proofs.toml:$(KIT)/real/bin/lbreal; do \
		file=$${site%%:*}; bench=$${site#*:}; \
		line=$$($$bench score $$file --quick --why "$(WHY)" | grep 'score of the real nodes'); \
		echo "$$(basename $$file .toml): $$line"; \
	done

# The kit's list of troubles beside each deployment of our own, where the bench looks for it; it is not committed.
lay-unlock:
	@for site in deploy/sites/*/; do cp -f $(KIT)/more/mass/other/unlock.txt "$$site" || exit 1; done
