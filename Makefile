PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core store upstreams peers gateway callers operators node
SEED ?= 1
DURATION_S ?= 60

.PHONY: setup demo test lint format bench bench-quick soak clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: setup
	$(BIN)/python -m examples.demo

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m bench.main --seed=$(SEED)

bench-quick: setup
	$(BIN)/python -m bench.main --seed=$(SEED) --quick

soak: setup
	$(BIN)/python -m tests.soak --seed=$(SEED) --duration_s=$(DURATION_S)

clean:
	rm -rf $(VENV) out .ruff_cache .hypothesis
