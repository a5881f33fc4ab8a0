"""`python -m kelptrail.simulator_adapter`: reads batches from standard input, and writes a reply to each."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from kelptrail.engine.settings import MalformedError
from kelptrail.simulator_adapter.instance import DispatcherInstance, Fields

EVENT_HANDLERS: dict[str, Callable[[DispatcherInstance, float, Fields], None]] = {
    "Req": DispatcherInstance.on_request,
    "Answer": DispatcherInstance.on_attempt_finished,
    "Aborted": DispatcherInstance.on_client_gone,
    "First": DispatcherInstance.on_response_started,
    "ReadyThere": DispatcherInstance.on_load_report,
    "DeadlineHit": DispatcherInstance.on_timer,
    "Echo": DispatcherInstance.on_health_check,
    "Heard": DispatcherInstance.ignore,
}
MALFORMED_INPUT_EXIT_CODE = 2


class SimulatorAdapter:
    """The dispatcher instances of this process, and the endpoint tables that the simulator has sent."""

    def __init__(self) -> None:
        self._instances: dict[str, DispatcherInstance] = {}
        self._tables: dict[int, list[Fields]] = {}

    def reply(self, line: str) -> dict[str, Any]:
        """Return the reply to one batch of events.  Raises `MalformedError`, or the error of a missing or mistyped
        field.
        """
        batch = json.loads(line)
        now = batch["now_us"] / 1000
        changed: dict[str, None] = {}
        actions: list[Fields] = []
        for event in batch["arrivals"]:
            ((kind, fields),) = event.items()
            if kind == "Manifest":
                self._tables[fields["table"]] = fields["records"]
                continue
            name = fields["i"]
            if kind == "Hello":
                self._instances[name] = DispatcherInstance(name, fields["nonce64"], fields["env"])
            elif kind == "Exit":
                self._instances.pop(name, None)
                changed.pop(name, None)
                continue
            elif name not in self._instances:
                raise MalformedError(f"{kind} for an instance that was never started: {name}")
            elif kind == "Membership":
                table = None if fields["how"] == "X" else self._tables.get(fields["table"])
                self._instances[name].on_endpoints(now, fields, table)
            elif kind in EVENT_HANDLERS:
                EVENT_HANDLERS[kind](self._instances[name], now, fields)
            else:
                raise MalformedError(f"unknown event {kind}")
            changed[name] = None
        for name in changed:
            try:
                actions += self._instances[name].actions(now)
            except Exception as cause:  # noqa: BLE001 - a failure of one instance must not stop the others
                traceback.print_exc()
                actions.append({"Fatal": {"i": name, "message": f"{type(cause).__name__}: {cause}"}})
        return {"actions": actions}


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends or is malformed; return the exit code."""
    adapter = SimulatorAdapter()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = adapter.reply(line)
        except (MalformedError, ValueError, KeyError, TypeError, AttributeError, IndexError) as cause:
            print(f"kelptrail.simulator_adapter: malformed input: {type(cause).__name__}: {cause}", file=sys.stderr)
            return MALFORMED_INPUT_EXIT_CODE
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
