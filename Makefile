GO ?= go

.PHONY: all build demo test fmt vet lint unit generate

all: build

build:
	$(GO) build -o bin/cassiawall ./cmd/cassiawall

# Runs a demonstration fleet with embedded stand-ins on loopback until Ctrl-C.
demo: build
	./bin/cassiawall demo

test: fmt vet lint build unit

fmt:
	@unformatted=$$(gofmt -l cmd pkg platform test); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race ./...

# Regenerates the committed protocol code. Needs protoc.
generate:
	mkdir -p bin
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) build -o bin/protoc-gen-twirp github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$$PWD/bin:$$PATH" protoc --proto_path=pkg/peer/peerpb --go_out=paths=source_relative:pkg/peer/peerpb \
		--twirp_out=paths=source_relative:pkg/peer/peerpb pkg/peer/peerpb/peer.proto
	PATH="$$PWD/bin:$$PATH" protoc --proto_path=pkg/claims/claimspb --go_out=paths=source_relative:pkg/claims/claimspb \
		pkg/claims/claimspb/journal.proto
