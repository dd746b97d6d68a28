VENV ?= .venv
PY := $(VENV)/bin/python

SEED ?= 1

.PHONY: demo test lint bench soak simulate format proto

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(PY) -m standins.demo

test: $(VENV)/.installed
	$(PY) -m pytest

lint: $(VENV)/.installed
	$(VENV)/bin/black --check --quiet savoryfork standins bench soak simulation tests || $(VENV)/bin/black --check savoryfork standins bench soak simulation tests
	$(VENV)/bin/ruff check --no-cache savoryfork standins bench soak simulation tests
	$(VENV)/bin/mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff check --no-cache --fix savoryfork standins bench soak simulation tests
	$(VENV)/bin/black --quiet savoryfork standins bench soak simulation tests

soak: $(VENV)/.installed
	$(PY) -m soak --seed=$(SEED)

simulate: $(VENV)/.installed
	$(PY) -m simulation --seed=$(SEED)

bench: $(VENV)/.installed
	mkdir -p run
	$(PY) -m bench.cost > run/cost.out
	$(PY) -m bench.quarantine > run/quarantine.out
	cat run/cost.out run/quarantine.out
	$(PY) -m bench
	tail -q -n 1 run/cost.out run/quarantine.out
