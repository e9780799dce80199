DEV := .venv-dev/bin

.PHONY: build test lint run
build: .venv
.venv: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv

.venv-dev: requirements.txt requirements-dev.txt
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch .venv-dev

test: .venv-dev
	$(DEV)/python -m pytest -q

lint: .venv-dev
	$(DEV)/ruff check .
	$(DEV)/mypy

run: .venv
	BALANCER_CONFIG=$(CONFIG) .venv/bin/python -m thymeflow
