.PHONY: test format lint race model build faults fuzz bench

# The whole check: formatter, linters, race tests and the model check.
test: format lint race model
	@echo "all checks passed"

format:
	@out=$$(go tool gofumpt -l cmd internal); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -set_exit_status ./...

race:
	go test -race -timeout 20m ./...

model:
	model/check

build:
	go build -o bin/ ./cmd/...

# Faults of real processes: kill -9, SIGSTOP, cut connections, a log outage.
faults:
	go test -tags faults -race -count=1 -timeout 3m -v ./internal/bench/breaker

fuzz:
	go test -run XXX -fuzz FuzzDecodeMessage -fuzztime 20s ./internal/wire/coder
	go test -run XXX -fuzz FuzzDecodeRecord -fuzztime 20s ./internal/wire/coder

# The slopes of docs/CAPACITY.md.
bench:
	go test -run XXX -bench . -benchmem ./internal/core/dispatcher ./internal/wire/coder
