VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= baltkomponents
STAMP := $(VENV)/.installed

.PHONY: demo test generate faults rolling model slopes bench throughput propagation soak

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m tools.demo --deployment $(DEPLOYMENT)

test: $(STAMP)
	$(PYTHON) -m tools.run_tests

generate: $(STAMP)
	$(PYTHON) -m tools.generate

faults: $(STAMP)
	$(PYTHON) -m tools.faults --pairs --write

rolling: $(STAMP)
	$(PYTHON) -m tools.rolling --deployment $(DEPLOYMENT)

model: $(STAMP)
	$(PYTHON) -m spec.request_protocol
	$(PYTHON) -m spec.configuration_protocol

slopes: $(STAMP)
	$(PYTHON) -m tools.slopes --deployment $(DEPLOYMENT)
	$(PYTHON) -m tools.gateway_slopes

bench: $(STAMP)
	$(PYTHON) -m tools.bench --deployment $(DEPLOYMENT)

throughput: $(STAMP)
	$(PYTHON) -m tools.throughput

propagation: $(STAMP)
	$(PYTHON) -m tools.propagation --deployment $(DEPLOYMENT)

soak: $(STAMP)
	$(PYTHON) -m tools.soak --seeds 20
