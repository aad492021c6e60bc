# Everything runs in .venv, which the first of these makes.
PYTHON ?= python3
RUN = .venv/bin/python -m

.PHONY: demo test lint pages

demo: .venv/ready
	$(RUN) limelatch demo

test: .venv/ready
	$(RUN) pytest

lint: .venv/ready
	$(RUN) ruff check limelatch tests example
	$(RUN) ruff format --check limelatch tests example

# The pages that are made from the code and from results.
pages: .venv/ready
	$(RUN) limelatch config page > docs/operators/configuration.md
	$(RUN) limelatch relay events --page > docs/operators/logs.md
	$(RUN) limelatch lab scale page > docs/CAPACITY.md

.venv/ready: pyproject.toml $(wildcard requirements*.txt)
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -e .[lab] -r requirements-dev.txt
	cp requirements.txt .venv/
	touch $@
