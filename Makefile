# One command for each thing a developer does.
PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin
SEED ?= 1
SEEDS ?= 1

.PHONY: setup demo test lint types bench matrix soak soak-core binary measure \
	ablation

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	touch $(VENV)/installed

demo: setup
	$(BIN)/python -m trestledock demo

lint: setup
	$(BIN)/ruff format --check trestledock tests
	$(BIN)/flake8 trestledock tests

types: setup
	$(BIN)/mypy trestledock

test: setup
	PYTHON=$(PYTHON) bash .ci/run

bench: setup
	$(BIN)/python -m trestledock.bench

matrix: setup
	$(BIN)/python -m trestledock.proof matrix

soak-core: setup
	$(BIN)/python -m trestledock.proof soak --seed $(SEED)

soak: setup
	$(BIN)/python -m tests.soak --seed $(SEED) --seeds $(SEEDS)

ablation: setup
	$(BIN)/python -m trestledock.bench.ablation

measure: setup
	$(BIN)/python -m trestledock.bench.slopes

binary: setup
	$(BIN)/python -m trestledock.packaging build/trestledock.pyz
