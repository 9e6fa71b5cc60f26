# Targets for developers and CI. Newcomers need only "make demo" and "make test".

GOLANGCI = v2.12.2
GOPLS    = v0.21.1
TWIRP    = v8.1.3+incompatible
PROTOGO  = v1.36.12
TOOLS    = $(CURDIR)/.tools
LINTCACHE = $(CURDIR)/.lintcache
SEED    ?= 1
PROTOS   = internal/peer/entry/entrypb/entry.proto internal/peer/planner/plannerpb/planner.proto

.PHONY: build demo test lint format generate model bench fuzz capacity tools count soak sequences replay gopls

build:
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

format:
	gofmt -w cmd internal platform

# Each checkout has its own linter cache, because the cache stores absolute paths. With a
# shared cache, the linter reports generated files as hand-written ones once the checkout
# that created their entries is deleted.
lint: $(TOOLS)/golangci-lint-$(GOLANGCI)
	@test -z "$$(gofmt -l cmd internal platform)" || { echo "gofmt would change:"; gofmt -l cmd internal platform; exit 1; }
	GOLANGCI_LINT_CACHE=$(LINTCACHE) $(TOOLS)/golangci-lint-$(GOLANGCI) run ./...

$(TOOLS)/golangci-lint-$(GOLANGCI):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI)
	mv $(TOOLS)/golangci-lint $@

# gopls builds the language server, which renames an identifier with all its uses:
# .tools/gopls-VERSION rename -w FILE:LINE:COLUMN NAME
gopls: $(TOOLS)/gopls-$(GOPLS)

$(TOOLS)/gopls-$(GOPLS):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS)
	mv $(TOOLS)/gopls $@

# generate needs protoc. The generated code is committed, so builds do not need protoc.
generate:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOGO)
	GOBIN=$(TOOLS) go install github.com/twitchtv/twirp/protoc-gen-twirp@$(TWIRP)
	for f in $(PROTOS); do PATH=$(TOOLS):$$PATH protoc --proto_path=. --go_out=. --go_opt=module=sesameyoke \
	  --twirp_out=. --twirp_opt=module=sesameyoke $$f || exit 1; done

# bench replays the traces of both deployments through all policies, and measures the time
# of one scheduling decision with 50 to 20000 workers.
bench:
	go test -run '^$$' -bench Policies -benchtime 1x -timeout 60m ./internal/core/plan
	go test -run '^$$' -bench Decision -benchmem ./internal/core/plan

# model checks the models of the gang start protocol and of the planner's takeover. It needs
# spin and cc.
model:
	./scripts/model.sh

# capacity measures the costs per unit of load from which docs/CAPACITY.md is calculated.
capacity:
	go test -run '^$$' -bench 'Capacity(Beat|Renew|Append|InForce)' -benchtime 100x ./internal/run/serve
	go test -run '^$$' -bench 'Capacity(Ledger|Config|Drain)' -benchtime 5x ./internal/run/serve
	go test -run '^$$' -bench Decision -benchtime 20000x ./internal/core/plan

# fuzz runs the property-based tests with 2000 random sequences each: make fuzz SEED=7
fuzz:
	go test ./internal/core/plan ./internal/core/config -rapid.seed=$(SEED) -rapid.checks=2000 -timeout 60m

# count prints the shares of tests and of code for operation at scale.
count:
	./scripts/count.sh

# soak runs real entry VMs against the emulated platform under random faults, with the seeds
# in cmd/soak/testdata/seeds. For other seeds: bin/soak --seed 200 --seeds 50.
soak: build
	./scripts/soak.sh

# sequences runs 1000 random sequences of faults on the emulated platform: make sequences SEED=7
sequences:
	SESAMEYOKE_SEEDS=1000 SESAMEYOKE_SEED=$(SEED) go test -count=1 -timeout 60m -run 'TestSequences$$' ./internal/run/engine

# faults pauses, kills and replaces entry VMs that run as real processes.
faults: build
	./scripts/faults.sh

# replay runs the loads in internal/run/engine/testdata/loads through the planner in simulated
# time. For each load it prints the share of the jobs' worth that was earned and the share of
# the capacity that was wasted on discarded work: make replay SEEDS=24
SEEDS ?= 24
replay:
	SESAMEYOKE_FIGURES=1 SESAMEYOKE_SEEDS=$(SEEDS) go test -count=1 -run TestReplay -v ./internal/run/engine | grep '^load='
