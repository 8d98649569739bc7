# Entry points of the project; each sets up the virtual environment first.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := kernel wire net router gateway ctl standins
STAMP := $(VENV)/.installed
SOURCES := packages platform tests bench model demo

.PHONY: setup demo test lint format check-model bench capacity mutate soak golden-update

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt 'setuptools>=68' -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: setup
	$(BIN)/python -m demo

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

check-model: setup
	$(BIN)/python -m model

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

mutate: setup
	$(BIN)/python -m bench.mutate

SEED ?= 1

soak: setup
	PYTHONPATH=platform/soak $(BIN)/python -m bramleysill_soak --seed=$(SEED) $(if $(FAULTS),--faults=$(FAULTS))

golden-update: setup
	GOLDEN_UPDATE=1 $(BIN)/python -m tests tests.test_sessions.GoldenTest
