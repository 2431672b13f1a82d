# Two commands for a newcomer, on a machine with Python 3.11 or later and nothing else:
#   make demo    a small fleet on this machine, with trouble, and what the router makes of it
#   make test    style, types and tests
# Both make a virtual environment of their own, .venv-dev, from the pinned versions.

PYTHON ?= python3
ENV := .venv-dev
BIN := $(ENV)/bin

.PHONY: demo test env clean

demo: env
	$(BIN)/python -m rosepick demo

test: env
	PATH="$(CURDIR)/$(BIN):$$PATH" PYTHONDONTWRITEBYTECODE=1 sh -c 'ruff check . && mypy && pytest'

env: $(ENV)/pins.txt

# The pins are copied last: an environment that was left half made is made anew.
$(ENV)/pins.txt: requirements.txt requirements-lab.txt requirements-dev.txt
	rm -rf $(ENV)
	$(PYTHON) -m venv $(ENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	cat requirements.txt requirements-lab.txt requirements-dev.txt > $@

clean:
	rm -rf $(ENV)
