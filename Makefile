PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Each worker starts up to about ten processes, which compete for the processors of a
# small machine if there are more workers.
TEST_JOBS ?= 3

.PHONY: demo test lint unit binary docs troubles clean bench soak soak-regressions

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

# Start a small system on loopback, serve requests, print them, and stop it.
demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Run all tests except those listed in KNOWN-RED.txt, which are printed.
unit: $(VENV)/.installed
	$(BIN)/pytest -n $(TEST_JOBS) --dist loadfile $$($(BIN)/python -m tools.known_red)

# Run all checks of CI.
test: lint unit

# Build a single file that needs only Python 3.11 to run.
binary: $(VENV)/.installed
	$(BIN)/python -m tools.build_binary

# Generate the pages of docs/reference/ from the code.
docs: $(VENV)/.installed
	$(BIN)/python -m tools.generate_docs

# Play days with one kind of fault each on SITES with the program PLAYER; see
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

# Run processes on loopback under faults drawn from the seed and check the guarantees.
# The logs of a run that violates a guarantee are kept in build/soak/. ENTRIES sets the
# number of entry hosts.
soak: $(VENV)/.installed
	SOAK_ENTRIES=$(ENTRIES) $(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

# Run each seed that has failed before.
soak-regressions: $(VENV)/.installed
	$(BIN)/python -m soak --regressions
