# Developer commands. See README.md.

# KNOWN_RED is a pattern of the tests and subtests that KNOWN-RED.txt lists, if any.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's,/,$$/^,g; s/^/^/; s/$$/$$/' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)',)

# On arm64, the runtime of the race detector crashes now and then in the tests of these packages.
WITHOUT_RACE := $(if $(filter arm64,$(shell go env GOARCH)),$(shell go list ./internal/coordination/monitor ./pkg/fetcher))

# The tests of this package measure the memory of processes. They run after the others, one at a
# time, and without the race detector, which needs memory of its own.
ALONE := $(shell go list ./test/crowd)

.PHONY: build up demo test bench soak soak-mutations generate

build:
	go build -o bin/ ./cmd/... ./tools/...

up: build
	./bin/demo up

demo: build
	./bin/demo run

test:
	@if [ -n "$(KNOWN_RED)" ]; then echo "tests skipped because of KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	go test -race $(SKIP) $(filter-out $(WITHOUT_RACE) $(ALONE),$(shell go list ./...))
	$(if $(WITHOUT_RACE),go test $(SKIP) $(WITHOUT_RACE))
	go test -count=1 -timeout 30m $(SKIP) $(ALONE)

bench: build
	go run ./tools/bench

# SEEDS, DURATION and SEED choose the runs; without SEED they are fresh.
SEEDS ?= 50
DURATION ?= 20s
soak: build
	./bin/soak --seeds $(SEEDS) --duration $(DURATION) $(if $(SEED),--seed $(SEED),)

# soak-mutations shows that the soak reports daemons without a mechanism.
soak-mutations: build
	for m in replica-check not-run-proof digest-check stop-intake part-block version-check leaving-check hold-off-check silent-attempt evacuation-check cold-limit; do \
		./bin/soak --without $$m --seed 1 --seeds $(SEEDS) --duration 25s --until-violation || exit 1; \
	done
	# Otherwise replicas say in their responses that they leave, too.
	./bin/soak --without drain --signals=false --seed 1 --seeds $(SEEDS) --duration 25s --until-violation

generate:
	buf generate
