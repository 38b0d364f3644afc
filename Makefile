PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Each worker starts up to some ten processes; more workers make them wait for each
# other on a small machine.
TEST_JOBS ?= 3

.PHONY: demo test lint unit binary docs troubles clean bench soak soak-regressions

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

# A small system on loopback that serves real requests, prints them, and stops.
demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# All tests but those that KNOWN-RED.txt lists, which are printed.
unit: $(VENV)/.installed
	$(BIN)/pytest -n $(TEST_JOBS) --dist loadfile $$($(BIN)/python -m tools.known_red)

# Everything that CI runs.
test: lint unit

# One file that runs on a machine with Python 3.11 alone.
binary: $(VENV)/.installed
	$(BIN)/python -m tools.build_binary

# The pages of docs/reference/ that come from the code.
docs: $(VENV)/.installed
	$(BIN)/python -m tools.generate_docs

# Days with one kind of trouble each, on SITES with the program PLAYER; see
# docs/reference/days.md.
troubles: $(VENV)/.installed
	$(BIN)/python -m tools.troubles play $(PLAYER) $(SITES)

clean:
	rm -rf $(VENV) build dist

SCENARIO ?= northvane
POLICY ?= home
LOAD ?= 1.0
SEED ?= 1
SECONDS ?= 30
ENTRIES ?= 3

bench: $(VENV)/.installed
	$(BIN)/python -m bench --scenario $(SCENARIO) --policy $(POLICY) \
		--load $(LOAD) --seed $(SEED) --seconds $(SECONDS) $(if $(FAULTS),--faults)

# Real processes on loopback under faults that the seed draws, and checks of what is
# promised; the logs of a run that broke a promise stay in build/soak/. With ENTRIES it
# starts so many entry hosts.
soak: $(VENV)/.installed
	SOAK_ENTRIES=$(ENTRIES) $(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

# Each seed that failed once.
soak-regressions: $(VENV)/.installed
	$(BIN)/python -m soak --regressions
