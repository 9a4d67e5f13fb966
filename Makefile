PYTHON ?= python3
export PYTHONPATH := $(CURDIR)
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: proofs setup test check slopes measure bench profile chaos soak search demo clean

# SKIP_SETUP=1 BIN=... uses an environment that exists already, as in a second work tree.
setup: $(if $(SKIP_SETUP),,$(STAMP))

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/pytest -n 4

check: setup
	$(BIN)/black -q --check apricotwalk apricotwalk_lab tests examples
	$(BIN)/ruff check -q apricotwalk apricotwalk_lab tests examples
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache | tail -n 2

# Prints what control costs a node, one JSON line a size.
slopes: setup
	$(BIN)/python -m apricotwalk_lab.slopes --sizes $(or $(SIZES),10 30 100 300)
	$(BIN)/python -m apricotwalk_lab.slopes --state

# QUICK=1 runs a short form with every variant in it; ARGS narrows cities, scenarios and seeds.
measure: setup
	$(BIN)/python -m apricotwalk_lab.measure $(if $(QUICK),--quick) $(ARGS)

# A larger search over both state machines, with fresh randomness; it takes about three minutes.
search: setup
	HYPOTHESIS_PROFILE=search $(BIN)/pytest -n 0 --hypothesis-show-statistics \
		tests/test_at_most_once.py tests/test_configuration.py::TestConfigurationMachine

# Prints one JSON object a path; SECONDS is the length of each path's run.  The daemon is compiled
# first, as an installed one is, because a start that compiles keeps what that took.
SECONDS ?= 15
bench: setup
	$(BIN)/python -m compileall -q apricotwalk
	$(BIN)/python -m apricotwalk_lab.bench --seconds $(SECONDS)

# Prints where the entry node spends its time under calls; ARGS as the program's own.
profile: setup
	$(BIN)/python -m apricotwalk_lab.bench.profile $(ARGS)

# Runs every scenario that names a mechanism without it and with it; SEED fixes both runs.
proofs: setup
	$(BIN)/python -m apricotwalk_lab prove --seed $(SEED) $(ARGS) tests/scenarios/*.scenario

# Runs both cities through calm, a surge and recovery; writes out/demo/demo.png.
demo: setup
	$(BIN)/python -m apricotwalk_lab.demo

# Runs real mesh nodes under random faults, COUNT seeds from SEED on; see docs/SOAK.md.
soak: setup
	$(BIN)/python -m apricotwalk_lab.soak --seed $(SEED) --count $(COUNT) $(ARGS)

# Runs COUNT pairs of faults from SEED on, one JSON line each, and a count at the end.
SEED ?= 1
COUNT ?= 10
chaos: setup
	$(BIN)/python -m apricotwalk_lab chaos --seed $(SEED) --count $(COUNT) $(ARGS)
