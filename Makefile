DEV := .venv-dev/bin

.PHONY: build test lint run demo prove-fleet prove-budgets prove-overload
build: .venv
.venv: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv

.venv-dev: requirements.txt requirements-extras.txt requirements-dev.txt
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch .venv-dev

test: .venv-dev
	$(DEV)/python -m pytest -q -n auto

lint: .venv-dev
	$(DEV)/ruff format --check .
	$(DEV)/ruff check .
	$(DEV)/lint-imports --no-cache
	$(DEV)/mypy

run: .venv
	BALANCER_CONFIG=$(CONFIG) .venv/bin/python -m thymeflow

demo: .venv-dev
	$(DEV)/python -m thymeflow demo

prove-fleet: .venv-dev
	PYTHONPATH=. $(DEV)/python benchmarks/prove_fleet.py

prove-budgets: .venv-dev
	PYTHONPATH=. $(DEV)/python benchmarks/prove_budgets.py

prove-overload: .venv-dev
	PYTHONPATH=. $(DEV)/python benchmarks/prove_overload.py
