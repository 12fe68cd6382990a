VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
TREES = basilwinch bench

.PHONY: all setup run test lint format bench bench-throughput bench-recovery bench-control bench-gateway soak soak-processes pages

all: test

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

run: setup
	$(BIN)/python -m basilwinch.daemon --embedded

lint: setup
	$(BIN)/python -m black --check -q $(TREES)
	$(BIN)/python -m ruff check -q --no-cache $(TREES)

format: setup
	$(BIN)/python -m black -q $(TREES)
	$(BIN)/python -m ruff check -q --no-cache --fix $(TREES)

# Processes that run tests at the same time; most tests wait rather than compute.
TEST_WORKERS ?= 4
test: setup
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -m "not alone" -n $(TEST_WORKERS) --dist worksteal
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -m alone

bench-control: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.control $(BENCH_FLAGS)

bench-throughput: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.throughput

bench-recovery: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.recovery

SEEDS ?= 5
soak: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak --seeds $(SEEDS)

SEED ?= 1
SECONDS ?= 10
NODES ?= 4
soak-processes: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak_processes --seed $(SEED) --seconds $(SECONDS) --nodes $(NODES) --logs out/soak

bench-gateway: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.gateway

bench: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.summary

pages: setup
	$(BIN)/python -m bench.pages
