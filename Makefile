# Commands of the project; README.md says when to use which.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := core operators entry agent gateway standins measures
FOLDERS := $(foreach name,$(PACKAGES),packages/$(name)) platform
EDITABLE := $(foreach folder,$(FOLDERS),-e $(folder))

.PHONY: demo format lint measure test venv

venv: $(STAMP)

$(STAMP): requirements.lock $(foreach folder,$(FOLDERS),$(folder)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format packages platform examples
	$(BIN)/ruff check --fix packages platform examples

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform examples
	$(BIN)/ruff check packages platform examples

test: lint
	$(BIN)/pytest --numprocesses 4 --dist loadfile

demo: $(STAMP)
	$(BIN)/python -m eelgrassdale_standins.demo

measure: $(STAMP)
	$(BIN)/python -m eelgrassdale_measures $(MEASURE)
