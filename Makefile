# Developer commands. See README.md.

# KNOWN_RED is a pattern of the tests that KNOWN-RED.txt lists, if any.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

.PHONY: build up demo test bench generate

build:
	go build -o bin/ ./cmd/... ./tools/...

up: build
	./bin/demo up

demo: build
	./bin/demo run

test:
	@if [ -n "$(KNOWN_RED)" ]; then echo "tests skipped because of KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	go test -race $(SKIP) ./...

bench: build
	go run ./tools/bench

generate:
	buf generate
