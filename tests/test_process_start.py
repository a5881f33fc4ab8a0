"""New processes start without a fork of the process that asks for them."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from conftest import ForkedTestProcessError

from kelptrail.simulation.experiment import run

ROOT = Path(__file__).parent.parent
EXPERIMENT = '(experiment one (script "{root}/examples/bad-days/kills.sexp") (variant as-is (set script.seconds 1)))'


# Guards against experiments whose processes inherit gRPC objects, which hang or kill them at random.
def test_an_experiment_does_not_fork_the_process_that_runs_it(tmp_path: Path) -> None:
    file = tmp_path / "one.sexp"
    file.write_text(EXPERIMENT.format(root=ROOT))
    runs = run(str(file), tmp_path / "out", 1, lambda _: None)
    assert len(runs) == 1 and runs[0]["calls"] > 0


def test_a_fork_of_the_test_process_fails() -> None:
    with pytest.raises(ForkedTestProcessError):
        os.fork()
