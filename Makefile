# Two commands for a newcomer, on a machine with Python 3.11 or later and nothing else:
#   make demo    a small fleet on this machine, with trouble, and what the router makes of it
#   make test    style, types and tests
# And two for whoever changes what processes agree on:
#   make soak        random faults on real routers, under two minutes; .ci/run calls it
#   make drill       faults between processes for some minutes
#   make mutations   each planted fault is found by a drill; an hour
# Both make a virtual environment of their own, .venv-dev, from the pinned versions.

PYTHON ?= python3
ENV := .venv-dev
BIN := $(ENV)/bin

# With the operators' kit at hand: the files that its bench wants beside a site, laid to our own sites.
KIT ?= ../given/kit

.PHONY: demo test soak drill mutations sites env clean

demo: env
	$(BIN)/python -m rosepick demo

test: env
	PATH="$(CURDIR)/$(BIN):$$PATH" PYTHONDONTWRITEBYTECODE=1 sh -c 'ruff check . && ruff format --check . && mypy && pytest'

# Short and seeded, under two minutes; the long one is started by hand (docs/operations.md).
soak: env
	$(BIN)/python -m rosepick lab soak --seed 3 --routers 4
	$(BIN)/python -m rosepick lab scale-soak --seed 1..5

drill: env
	$(BIN)/python -m rosepick lab drill drills/simulated.toml --simulated --seed 1..100 --workers 4
	$(BIN)/python -m rosepick lab drill drills/drains-simulated.toml --simulated --seed 1..24 --workers 4
	$(BIN)/python -m rosepick lab drill drills/agent-disks-simulated.toml --simulated --seed 1..12 --workers 4
	$(BIN)/python -m rosepick lab drill drills/short.toml --seed 1..2 --workers 2
	$(BIN)/python -m rosepick lab drill drills/drains-short.toml --seed 1
	$(BIN)/python -m rosepick lab drill drills/releases-simulated.toml --simulated --seed 1..8 --workers 4
	$(BIN)/python -m rosepick lab drill drills/releases-short.toml --seed 2

mutations: env
	$(BIN)/python -m rosepick lab mutations tests/mutations.toml

sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

env: $(ENV)/pins.txt

# The pins are copied last: an environment that was left half made is made anew.
$(ENV)/pins.txt: requirements.txt requirements-lab.txt requirements-dev.txt
	rm -rf $(ENV)
	$(PYTHON) -m venv $(ENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	cat requirements.txt requirements-lab.txt requirements-dev.txt > $@

clean:
	rm -rf $(ENV)
