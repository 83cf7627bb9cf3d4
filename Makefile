# One virtual environment, made from the lock; every target sets it up first.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)
export PYTHONHASHSEED := 0

.PHONY: setup demo test soak lint format bench generate examples

setup: $(VENV)/.lock-installed

$(VENV)/.lock-installed: requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps -e .
	touch $@

test: setup
	$(PYTHON) -m tests.run

demo: setup
	$(PYTHON) -m demo

# Fresh seeds by hand: make soak FIRST=100 SEEDS=50
FIRST ?= 1
SEEDS ?= 5
soak: setup
	$(PYTHON) -m soak --first $(FIRST) --seeds $(SEEDS)

bench: setup
	$(PYTHON) -m bench

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy lavendertide standins demo bench soak tests

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Needs Debian's thrift-compiler; the result is committed.
generate:
	thrift --gen py:slots,package_prefix=lavendertide.encodings.generated. -out lavendertide/encodings/generated lavendertide/encodings/peer_protocol.thrift

# Writes examples/ and docs/SETTINGS.md anew; the result is committed.
examples: setup
	$(PYTHON) -m standins.examples
