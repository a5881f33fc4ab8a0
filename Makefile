# Two commands do all set-up on a fresh machine: `make run` and `make test`.
PY ?= python3
BIN := .venv/bin
# Test processes at a time.  Tests marked `scenarios` run processes of their own and judge what they count; those marked
# `timed` measure time: they run alone, last.  A test process without tests takes over tests of another one (worksteal).
JOBS ?= 6
SCENARIO_JOBS ?= 3

.PHONY: run demo test lint fast lock proto
run: demo

.venv/.locked: requirements.lock pyproject.toml
	@# standard output belongs to the demo's one line
	@test -x $(BIN)/python || $(PY) -m venv .venv 1>&2
	@$(BIN)/pip -q install -r requirements.lock 1>&2
	@$(BIN)/pip -q install --no-deps --no-build-isolation -e . >/dev/null 2>&1 || $(BIN)/pip -q install --no-deps -e . 1>&2
	@touch $@

demo: .venv/.locked
	@exec $(BIN)/python -m kelptrail demo $(ARGS)

lint: .venv/.locked
	$(BIN)/ruff check kelptrail tests bench
	$(BIN)/ruff check --line-length 110 kelptrail/dispatch
	$(BIN)/ruff format --check kelptrail tests bench
	$(BIN)/mypy
	MYPYPATH=bench $(BIN)/mypy bench

fast: .venv/.locked
	$(BIN)/python -m pytest -q -n $(JOBS) --dist worksteal -m "not timed and not scenarios" $(ARGS)

# The linters run beside the first group, which measures no time.
test: .venv/.locked
	@$(MAKE) --no-print-directory -j 2 --output-sync=target lint fast
	$(BIN)/python -m pytest -q -n $(SCENARIO_JOBS) --dist worksteal -m scenarios $(ARGS) || [ $$? -eq 5 ]
	$(BIN)/python -m pytest -q -m timed $(ARGS) || [ $$? -eq 5 ]

# The code of the gRPC messages; a test tells when it is older than its .proto.
proto: .venv/.locked
	cd kelptrail/front/inference && ../../../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. inference.proto

lock:
	$(PY) -m venv .lock-venv
	.lock-venv/bin/pip -q install ".[program,dev]"
	(echo "# All that the program and its tests need, pinned; made anew by \`make lock\`."; \
	 .lock-venv/bin/pip freeze --exclude kelptrail) > requirements.lock
	rm -rf .lock-venv
