VENV := .venv
PYTHON := $(VENV)/bin/python
LIBS := $(sort $(wildcard libs/*))
export PYTHONPATH := $(subst $(eval ) ,:,$(addsuffix /src,$(addprefix $(CURDIR)/,$(LIBS) platform))):$(CURDIR)

.PHONY: setup test lint format check demo bench

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(addsuffix /pyproject.toml,$(LIBS))
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation $(addprefix -e ./,$(LIBS))
	touch $@

# Without ARGS, tests/run_parts.py runs all tests in parallel pytest processes.
test: setup
	$(if $(ARGS),$(PYTHON) -m pytest $(ARGS),$(PYTHON) tests/run_parts.py)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

check: lint test

demo: setup
	$(PYTHON) -m demo

# Prints the PYTHONPATH of the workspace, for running programs by hand.
.PHONY: pythonpath
pythonpath:
	@echo $(PYTHONPATH)
