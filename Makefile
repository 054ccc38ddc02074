PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test deps build bench soak clean

run: $(STAMP)
	$(BIN)/damasktally demo

test: $(STAMP) deps
	$(BIN)/python features/run_all.py

# What the deploy file's build command does on the platform.
deps:
	sh deploy/build.sh

build: $(STAMP)
	$(BIN)/python scripts/build.py

bench: $(STAMP)
	$(BIN)/python -m benchmarks

soak: $(STAMP)
	$(BIN)/python features/run_all.py --soak
	PYTHONPATH=.:features:features/steps $(BIN)/python -m fault_soak --seeds 10

$(STAMP): requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) dist build *.egg-info
