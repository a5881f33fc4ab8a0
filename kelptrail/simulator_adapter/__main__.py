"""`python -m kelptrail.simulator_adapter`: batches on standard input, one reply to each on standard output."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from kelptrail.engine.settings import MalformedError
from kelptrail.simulator_adapter.instance import Fields, Instance

CALLS: dict[str, Callable[[Instance, float, Fields], None]] = {
    "Req": Instance.taken,
    "Answer": Instance.answered,
    "Aborted": Instance.left,
    "First": Instance.begun,
    "ReadyThere": Instance.told,
    "DeadlineHit": Instance.timer,
    "Echo": Instance.probed,
    "Heard": Instance.probed,
}


class Drill:
    """All instances of this process, and the lists that travelled to it."""

    def __init__(self) -> None:
        self._hosts: dict[str, Instance] = {}
        self._tables: dict[int, list[Fields]] = {}

    def reply(self, line: str) -> dict[str, Any]:
        """The reply to one batch."""
        batch = json.loads(line)
        now = batch["now_us"] / 1000
        touched: dict[str, None] = {}
        actions: list[Fields] = []
        for event in batch["arrivals"]:
            ((kind, fields),) = event.items()
            if kind == "Manifest":
                self._tables[fields["table"]] = fields["records"]
                continue
            name = fields["i"]
            if kind == "Hello":
                self._hosts[name] = Instance(name, fields["nonce64"], fields["env"])
            elif kind == "Exit":
                self._hosts.pop(name, None)
                touched.pop(name, None)
                continue
            elif name not in self._hosts:
                raise MalformedError(f"{kind} for an instance that was never started: {name}")
            elif kind == "Membership":
                table = None if fields["how"] == "X" else self._tables.get(fields["table"])
                self._hosts[name].listed(now, fields, table)
            elif kind in CALLS:
                CALLS[kind](self._hosts[name], now, fields)
            else:
                raise MalformedError(f"unknown event {kind}")
            touched[name] = None
        for name in touched:
            try:
                actions += self._hosts[name].actions(now)
            except Exception as cause:
                traceback.print_exc()
                actions.append({"Fatal": {"i": name, "message": f"{type(cause).__name__}: {cause}"}})
        return {"actions": actions}


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Serve batches until the input ends."""
    drill = Drill()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = drill.reply(line)
        except (MalformedError, ValueError, KeyError, TypeError, AttributeError, IndexError) as cause:
            print(f"kelptrail.simulator_adapter: malformed input: {type(cause).__name__}: {cause}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
