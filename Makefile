PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint unit binary bench chaos clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/pytest

test: lint unit

clean:
	rm -rf $(VENV) build dist

SCENARIO ?= northvane
POLICY ?= home
LOAD ?= 1.0
SEED ?= 1
SECONDS ?= 30

bench: $(VENV)/.installed
	$(BIN)/python -m bench --scenario $(SCENARIO) --policy $(POLICY) \
		--load $(LOAD) --seed $(SEED) --seconds $(SECONDS) $(if $(FAULTS),--faults)
