GO ?= go
BIN := bin
TOOLS := bin/tools
LINT_VERSION := v2.15.0
MODULES := . ./node ./cuminhollow ./load ./soak ./standin/platform ./standin/upstream
PACKAGES := $(MODULES:%=%/...)
PROGRAMS := ./node ./cuminhollow ./load ./soak ./standin/platform ./standin/upstream

.PHONY: all build demo test unit race lint fmt spec fuzz clean

all: build

build:
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ $(PROGRAMS)

# Runs a small deployment through a surge and a killed node, and ends by itself.
demo: build
	$(BIN)/load demo --bin $(BIN)

# Everything that CI runs.
test:
	bash .ci/run

unit:
	$(GO) test $(PACKAGES)

race:
	$(GO) test -race $(PACKAGES)

$(TOOLS)/golangci-lint:
	mkdir -p $(TOOLS)
	GOBIN=$(abspath $(TOOLS)) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(TOOLS)/golangci-lint
	for m in $(MODULES); do (cd $$m && $(abspath $(TOOLS))/golangci-lint run ./...) || exit 1; done

fmt: $(TOOLS)/golangci-lint
	for m in $(MODULES); do (cd $$m && $(abspath $(TOOLS))/golangci-lint fmt ./...) || exit 1; done

# Checks the model of the core protocol and that each of its mutations fails.
spec:
	bash spec/check

clean:
	rm -rf $(BIN) out
