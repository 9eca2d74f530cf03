# make build, test, lint, run

PYTHON ?= python3
VENV ?= .venv
CONFIG ?= build/clinic/n0.json

.PHONY: build test lint run clean

# The program needs nothing but the standard library; the tests' libraries are in $(VENV).
build:
	$(PYTHON) -m compileall -q pepperrun

$(VENV)/installed.txt: requirements-dev.txt requirements-system.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	cat requirements-dev.txt requirements-system.txt > $@

test: build $(VENV)/installed.txt
	$(VENV)/bin/python -m pytest -q tests
	$(VENV)/bin/python -m behave -q features

lint: $(VENV)/installed.txt
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy --strict pepperrun
	$(VENV)/bin/mypy --config-file .ci/mypy-scripts.ini tests benchmarks examples features

$(CONFIG): examples/clinic.toml
	$(PYTHON) -m pepperrun.tool write examples/clinic.toml --out $(dir $(CONFIG))

run: build $(CONFIG)
	NODE_CONFIG=$(CONFIG) $(PYTHON) -m pepperrun

clean:
	rm -rf build
