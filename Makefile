# make build, test, lint, run

PYTHON ?= python3
VENV ?= .venv
CONFIG ?= build/clinic/n0.json

.PHONY: build test lint run clean

build: $(VENV)/installed.txt
	$(PYTHON) -m compileall -q pepperrun

$(VENV)/installed.txt: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

test: build
	$(VENV)/bin/python -m pytest -q tests
	$(VENV)/bin/python -m behave -q features

lint: build
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy --strict pepperrun

$(CONFIG): examples/clinic.toml
	$(PYTHON) -m pepperrun.tool write examples/clinic.toml --out $(dir $(CONFIG))

run: build $(CONFIG)
	NODE_CONFIG=$(CONFIG) $(PYTHON) -m pepperrun

clean:
	rm -rf build
