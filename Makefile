VENV ?= .venv
BIN = $(VENV)/bin
REQUIREMENTS = requirements.txt requirements-lab.txt requirements-dev.txt

.PHONY: test demo
# All checks: style, types, layers of imports, tests.
test: $(VENV)/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache
	$(BIN)/pytest -q

# Twenty seconds of real processes: six stand-in servers, one of which fails, one node, and a load.
demo: $(VENV)/ready
	$(BIN)/python -m loadbalancer lab live scenarios/demo.toml

$(VENV)/ready: $(REQUIREMENTS)
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --no-deps $(REQUIREMENTS:%=-r %)
	touch $@
