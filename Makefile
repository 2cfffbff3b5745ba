MODULES := . ./cmd/backend ./cmd/bench ./cmd/eelgrass ./cmd/eelgrassd ./cmd/platform ./cmd/relay ./examples/client ./examples/cooperative ./examples/ferrando
PACKAGES := $(addsuffix /...,$(MODULES))

.PHONY: build demo hurt test up down bench lint mutants fuzz

build:
	mkdir -p bin
	go build -o bin/ $(filter-out .,$(MODULES))

demo: build
	scripts/demo.sh

hurt: build
	scripts/hurt.sh

up: build
	scripts/up.sh

down:
	scripts/down.sh

test:
	scripts/test.sh $(PACKAGES)

bench: build
	bin/bench decide --out .run-report
	go test -run xxx -bench . -benchmem ./internal/experiment ./internal/node ./internal/placement
	scripts/load.sh

lint:
	test -z "$$(gofmt -l .)"
	go vet $(PACKAGES)
	go run honnef.co/go/tools/cmd/staticcheck@v0.8.2 $(PACKAGES)

# Takes one guard at a time out of a scratch copy; fails if no test notices.
mutants:
	scripts/mutants.sh

# Fuzzes every decoder for FUZZTIME each.
FUZZTIME ?= 20s
fuzz:
	go test -run xxx -fuzz FuzzEventReader -fuzztime $(FUZZTIME) ./internal/gateway
	go test -run xxx -fuzz FuzzReadServer -fuzztime $(FUZZTIME) ./platform
	go test -run xxx -fuzz FuzzReadRouting -fuzztime $(FUZZTIME) ./platform
