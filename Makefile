VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup format lint test demo faults soak bench capacity binary clean

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: setup
	$(VENV)/bin/ruff format src tests tools examples
	$(VENV)/bin/ruff check --fix src tests tools examples

lint: setup
	$(VENV)/bin/ruff format --check src tests tools examples
	$(VENV)/bin/ruff check src tests tools examples
	$(VENV)/bin/mypy

test: setup
	$(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m radishtrack_standins.demo

binary: setup
	$(PYTHON) tools/build_binary.py

bench: setup
	$(PYTHON) -m radishtrack_standins.bench

faults: setup
	$(PYTHON) -m radishtrack_standins.faults --seed $(or $(SEED),7)

soak: setup
	$(PYTHON) -m radishtrack_standins.soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) \
		--restores $(or $(RESTORES),0) --logs out/soak

capacity: setup
	@for program in decisions placement node watch lists peer rates clients statements; do \
		PYTHONPATH=src $(PYTHON) benchmarks/capacity/$$program.py || exit 1; done

clean:
	rm -rf $(VENV) build dist out
