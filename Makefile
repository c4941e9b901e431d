GO ?= go
BIN := bin

.PHONY: build demo demo-platform test crowds lint generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./$(BIN)/demo $(BIN)

# The same on the users' platform's path, against stand-ins of its store and backend servers.
demo-platform: build
	./$(BIN)/demo $(BIN) --platform

# The tests of crowds measure memory: they run after all others, one at a time and without the race detector.
test:
	@status=0; \
	$(GO) test -race -timeout 60m $$($(GO) list ./... | grep -v /test/crowds) || status=1; \
	$(MAKE) crowds || status=1; \
	exit $$status

crowds:
	$(GO) test -timeout 30m -count=1 ./test/crowds

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Needs protoc; the generated code is committed, so that no other target does.
generate:
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=fireflyshift --go-grpc_out=. --go-grpc_opt=module=fireflyshift internal/peer/peerpb/peer.proto
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=fireflyshift internal/quarantine/quarantinepb/quarantine.proto
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=fireflyshift internal/gossip/gossippb/gossip.proto

.PHONY: pauses soak soak-platform mutants capacity measure

# The fault soak of the platform's path with other seeds: make soak-platform SEEDS=100-120
SEEDS ?= 10-19
soak-platform:
	FIREFLYSHIFT_SOAK_SEEDS=$(SEEDS) $(GO) test -race ./test -run TestSoak -v -count=1 -timeout 0

# A host is paused again and again beside a leaving backend server: make pauses PAUSES=20
PAUSES ?= 20
pauses:
	FIREFLYSHIFT_PAUSES=$(PAUSES) $(GO) test -race ./test -run TestResumedHost -v -count=1 -timeout 0

# Long randomised runs with fresh seeds: make soak CHECKS=20000
CHECKS ?= 3000
soak:
	FIREFLYSHIFT_SOAK=1 $(GO) test ./internal/core ./internal/sched -count=1 -timeout 0 -v -run 'Promises|TierOrder' -rapid.checks=$(CHECKS) -rapid.steps=80

# Takes each guard away in a scratch copy and shows which test notices.
mutants:
	$(GO) run ./internal/tools/mutants

# The slopes of docs/CAPACITY.md, printed beside its figures.
capacity: build
	./$(BIN)/measure capacity

# The tables of docs/MEASUREMENTS.md. FULL=--full adds all loads, seeds and faults.
measure: build
	./$(BIN)/measure overhead
	./$(BIN)/measure memory
	$(GO) test ./internal/sched -run xxx -bench Decision -benchtime 20000x
	./$(BIN)/measure policy $(FULL)
