.PHONY: build generate test demo lint fuzz

build:
	go build -o bin/ ./cmd/...

generate:
	./scripts/generate

lint:
	./scripts/lint

test: build
	./scripts/test

demo: build
	./scripts/demo

fuzz:
	./scripts/fuzz
