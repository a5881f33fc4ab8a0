"""Load report of the emulated worker: utilization, loads in progress and memory in use, as an ORCA header."""

from __future__ import annotations

from typing import NamedTuple

from kelptrail.codec.infer import LOAD_REPORT, write_report

from .worker_state import HostedModel, WorkerState

UTILIZATION_SMOOTHING = 0.02  # weight of one sample in the moving average


class _LoadMetrics(NamedTuple):
    utilization: float
    loads: float  # number of loads in progress or queued
    memory_share: float  # share of the worker's memory that busy instances and those to be loaded take


class LoadReporter:
    """Samples the load and encodes the report; metrics are measured at intervals, as in a real worker."""

    def __init__(self, state: WorkerState) -> None:
        self._state = state
        self._utilization = 0.0
        self._metrics = _LoadMetrics(0.0, 0.0, 0.0)

    def sample_utilization(self) -> None:
        """Add a sample of the cores in use to the moving average."""
        used_share = self._state.running_jobs / self._state.fleet.cores
        self._utilization += UTILIZATION_SMOOTHING * (used_share - self._utilization)

    def measure(self) -> None:
        """Measure the metrics for the reports until the next measurement."""
        state = self._state
        self._metrics = _LoadMetrics(
            self._utilization,
            state.active_loads + len(state.load_queue),
            sum(_busy_mb(model) for model in state.models.values()) / state.fleet.memory_mb,
        )

    def header(self, instance_loaded: bool, other_requests: int) -> dict[str, str]:
        """Return the header of an answer.

        It contains the metrics (`x0` is the memory share, `x1` the number of loads), whether an instance was loaded
        (`found`), and the number of the model's other requests (`company`).
        """
        metrics = self._metrics
        report = write_report(
            metrics.utilization,
            x1=metrics.loads,
            x0=round(metrics.memory_share, 3),
            found=int(instance_loaded),
            company=other_requests,
        )
        return {LOAD_REPORT: report}


def _busy_mb(model: HostedModel) -> float:
    return (min(model.loaded, model.busy_instances) + model.loading) * model.action.memory_mb
