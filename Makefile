GO ?= go
BIN := bin

.PHONY: build demo test lint generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./$(BIN)/demo $(BIN)

test:
	$(GO) test -race ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Needs protoc; the generated code is committed, so that no other target does.
generate:
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=fireflyshift --go-grpc_out=. --go-grpc_opt=module=fireflyshift internal/peer/peerpb/peer.proto
