"""What both cases judge: final answers in time, and no attempt for a client that has gone."""

from __future__ import annotations

import asyncio
import time

from .clients import ClientRequest
from .record import Record

# The rules: a final answer comes half a second after its time at the latest, and no attempt begins later than 0.1 s
# after its client has gone.  On sockets each limit is 50 ms longer.
ANSWER_WITHIN_S, BEGIN_WITHIN_S, SOCKET_SLACK_S = 0.5, 0.1, 0.05


class Lateness:
    """Measures by how much the stand-ins' own loop runs late."""

    def __init__(self) -> None:
        self.worst_s = 0.0

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            self.worst_s = max(self.worst_s, time.monotonic() - due)


def judge(requests: list[ClientRequest], lateness_s: float, record: Record) -> int:
    """Write every usual request to the record, and return how many broke a rule."""
    lost = begun_late = wrong = 0
    latest_s = 0.0
    for request in requests:
        bound = request.sent_at + request.limit_s + ANSWER_WITHIN_S + SOCKET_SLACK_S + lateness_s
        is_lost = request.connection_ended or request.answered_at is None or request.answered_at > bound
        begins = [call - request.gone_at for call in request.calls if request.gone_at is not None]
        is_begun_late = any(after > BEGIN_WITHIN_S + SOCKET_SLACK_S + lateness_s for after in begins)
        is_wrong = request.code == 0 and request.answer != b"done " + request.body
        if request.answered_at is not None:
            latest_s = max(latest_s, request.answered_at - request.sent_at)
        end = "no answer"
        if request.answered_at is not None:
            end = f"code {request.code} after {request.answered_at - request.sent_at:.3f} s"
        elif request.connection_ended:
            end = "connection ended"
        text = f"request {request.id} limit {request.limit_s:.3f} s: {end}"
        text += "".join(f", at a runner after {call - request.sent_at:.3f} s" for call in request.calls)
        text += f", client gone after {request.gone_at - request.sent_at:.3f} s" if request.gone_at is not None else ""
        record.write(text + ("  LOST" if is_lost else "") + ("  BEGUN LATE" if is_begun_late else ""), request.sent_at)
        lost, begun_late, wrong = lost + is_lost, begun_late + is_begun_late, wrong + is_wrong
    record.show(
        f"{len(requests)} usual requests: {lost} lost, {begun_late} begun over 0.1 s after their client had gone, "
        f"{wrong} with a wrong body; the slowest answer took {latest_s:.2f} s"
    )
    return lost + begun_late + wrong
