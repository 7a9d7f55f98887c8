# make demo: sets up and shows a failover on a local fleet. make test: sets up and passes the tests.
PYTHON = python3
VENV = .venv
PIP = $(VENV)/bin/python -m pip -q --disable-pip-version-check

.PHONY: demo test

demo: $(VENV)/installed
	$(VENV)/bin/drill fleet --size small --visitors 20 --seconds 10 --faults crash

test: $(VENV)/installed
	PYTHONHASHSEED=0 $(VENV)/bin/python -m pytest

$(VENV)/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PIP) install -r requirements.txt
	$(PIP) install --no-deps --no-build-isolation -e .
	touch $@
