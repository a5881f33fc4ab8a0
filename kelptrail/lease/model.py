"""Voters, askers and one thing that is acted on, as states to be looked through; free of I/O.

A state holds the cores, what each voter's disk holds and has yet to sync, messages and acts under way in any order, and
what is left to go wrong: messages lost or copied, time that passes over what is under way, processes that start anew,
disks lost, syncs that fail, pauses.  Each process's clock runs at its own rate.  What must hold in every state: no two
believe at one instant that they hold the task (where rates are within the bound); the tokens under which it is won only
grow, and none that is acted on is older than one before; and once nothing more goes wrong, somebody holds it within a
stated time.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from kelptrail.model_checking.explorer import PropertyError, Step

from .acceptor import Acceptor, DurableState, Stage, Write
from .client import LeaseAcquired, LeaseClient, NoteStored
from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseNote, LeaseRow, LeaseSettings, Message

TASK = "task"
ROUNDING = 1e-6  # ms; a time that was divided by a rate and multiplied again is reached for sure


@dataclass(frozen=True, slots=True)
class Budget:
    """What may still go wrong, and `acts` that may still begin."""

    drops: int = 0
    copies: int = 0
    delays: int = 0  # times that pass over something under way
    starts: int = 0  # of voters, from their disks
    wipes: int = 0  # disks lost
    failures: int = 0  # syncs
    runs: int = 0  # askers that start anew
    pauses: int = 0
    releases: int = 0
    acts: int = 0


@dataclass(slots=True)
class Disk:
    """What a voter's disk holds."""

    memory: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)

    def sync(self, write: Write) -> None:
        """A write is safe."""
        self.memory = write.state or self.memory
        for row in write.rows:
            self.rows[row.task] = row

    def copy(self) -> Disk:
        """A copy that goes its own way."""
        return Disk(self.memory, dict(self.rows))


@dataclass(frozen=True, slots=True)
class Flying:
    """A message under way, or an act under a token (`message` None)."""

    sender: str
    to: str
    message: Message | None
    token: FencingToken = NO_TOKEN


@dataclass(frozen=True, slots=True)
class Make:
    """What a state begins with: how cores are made (changed on purpose in tests), rates of clocks by name, whether the
    voters have voted before, and whether what is acted on looks at tokens."""

    settings: LeaseSettings
    askers: tuple[str, ...]
    budget: Budget
    length_ms: float = 100.0
    voter: type[Acceptor] = Acceptor
    asker: type[LeaseClient] = LeaseClient
    rates: tuple[tuple[str, float], ...] = ()
    founded: bool = True
    fenced: bool = True
    believed: bool = True  # rates are within the bound: no two may believe
    disk: Callable[[], Disk] = Disk
    notes: bool = False  # whoever wins leaves a note at once
    later: LeaseSettings | None = None  # a next set of voters, which processes take up one by one

    def rate(self, name: str) -> float:
        """The rate of a process's clock."""
        return dict(self.rates).get(name, 1.0)


class Model:
    """One state."""

    __slots__ = (
        "askers",
        "budget",
        "disks",
        "fault",
        "fence",
        "flying",
        "left",
        "make",
        "now",
        "paused",
        "runs",
        "taken",
        "trail",
        "voters",
        "won",
    )

    def __init__(self, make: Make) -> None:
        self.make, self.budget, self.now = make, make.budget, 0.0
        settings = make.settings
        every = dict.fromkeys((*settings.acceptors, *(make.later.acceptors if make.later else ())))
        self.disks = {name: make.disk() for name in every}
        self.taken: frozenset[str] = frozenset()  # those that have taken up the next set
        if make.founded:
            for name in settings.acceptors:
                self.disks[name].memory = DurableState(settings.config_number, Stage.VOTING, False)
        self.voters = {name: make.voter(name, settings, 0.0, self.disks[name].memory) for name in settings.acceptors}
        self.runs = dict.fromkeys(make.askers, 1)
        self.askers = {name: make.asker(name, f"{name}/1", settings) for name in make.askers}
        self.flying: tuple[Flying, ...] = ()
        self.paused: frozenset[str] = frozenset()
        self.fence = self.won = NO_TOKEN  # the highest token that was acted under, and won
        self.left = NO_NOTE  # the last note that its holder was told is kept
        self.fault = ""
        self.trail: tuple[str, ...] = ()
        for name, asker in self.askers.items():
            asker.acquire(self.local(name), TASK, make.length_ms)
        self._tick()

    def local(self, name: str) -> float:
        """What a process's clock says."""
        return self.now * self.make.rate(name)

    def settings(self, name: str) -> LeaseSettings:
        """What a process reads at its next start."""
        return self.make.later if self.make.later is not None and name in self.taken else self.make.settings

    def copy(self) -> Model:
        """A copy that goes its own way."""
        twin = Model.__new__(Model)
        twin.make, twin.budget, twin.now, twin.flying = self.make, self.budget, self.now, self.flying
        twin.disks = {name: disk.copy() for name, disk in self.disks.items()}
        twin.voters = {name: voter.clone() for name, voter in self.voters.items()}
        twin.askers = {name: asker.clone() for name, asker in self.askers.items()}
        twin.runs, twin.paused, twin.trail = dict(self.runs), self.paused, self.trail
        twin.fence, twin.won, twin.fault, twin.taken = self.fence, self.won, self.fault, self.taken
        twin.left = self.left
        return twin

    def key(self) -> Hashable:
        """What the future depends on; times count from now."""
        out: list[Hashable] = [
            self.budget,
            tuple(sorted(self.flying, key=repr)),
            self.paused,
            self.fence,
            self.won,
            self.taken,
            self.left,
        ]
        for name, voter in self.voters.items():
            now = self.local(name)
            seat = voter.records.get(TASK)
            out.append(
                (
                    voter.stage,
                    voter.sealed_previous,
                    _ahead(voter.quiet_since, now),
                    _ahead(voter.next_tick_at(), now),
                    voter._nonce,
                    frozenset(voter._state_replies.items()),
                    tuple(voter.pending_writes),
                    self.disks[name].memory,
                    self.disks[name].rows.get(TASK),
                )
            )
            if seat is not None:
                out.append(
                    (
                        seat.highest_token,
                        seat.durable_token,
                        seat.released,
                        _ahead(seat.expires_at, now),
                        seat.reserved_for,
                        _ahead(seat.reserved_until, now),
                        seat.note,
                    )
                )
        for name, asker in self.askers.items():
            now, wish = self.local(name), asker.requests.get(TASK)
            out.append(
                (name, asker.client_id, asker._last_request_id, asker._jitter_draws, asker.highest_rounds.get(TASK, 0))
            )
            if wish is not None:
                out.append((wish.inherited_note, wish.pending_note, frozenset(wish.note_acceptors)))
                out.append(
                    (
                        wish.state,
                        wish.token,
                        _ahead(wish.next_step_at, now),
                        _ahead(wish.expires_at, now),
                        wish.is_probing,
                        wish.failed_attempts,
                        frozenset(wish.refusals),
                        frozenset(wish.acceptors_asked),
                        tuple(
                            (seq, _ahead(q.sent_at, now), frozenset(q.granted_by)) for seq, q in wish.ballots.items()
                        ),
                    )
                )
        return tuple(out)

    # Steps.

    def steps(self) -> Iterator[Step[Model]]:
        """Every step that can follow."""
        if self.fault:
            return
        left = self.budget
        for number, flying in enumerate(self.flying):
            name = f"{flying.sender}>{flying.to} {type(flying.message).__name__ if flying.message else 'act'}"
            if flying.to not in self.paused:
                yield Step(f"deliver {name}", partial(self._deliver, number))
            if left.drops and flying.message is not None:
                yield Step(f"drop {name}", partial(self._lose, number), True)
            if left.copies:
                yield Step(f"copy {name}", partial(self._copied, number), True)
        for name, voter in self.voters.items():
            if voter.pending_writes:
                yield Step(f"sync {name}", partial(self._sync, name, True))
                if left.failures:
                    yield Step(f"fail {name}", partial(self._sync, name, False), True)
            if left.starts:
                yield Step(f"start {name}", partial(self._start, name, False), True)
            if left.wipes:
                yield Step(f"wipe {name}", partial(self._start, name, True), True)
        busy = bool(self.flying) or any(voter.pending_writes for voter in self.voters.values())
        if (not busy or left.delays) and self._next() is not None:
            yield Step("time", partial(self._pass, busy), busy)
        for name in (*self.disks, *self.askers) if self.make.later is not None else ():
            if name not in self.taken and name not in self.paused:
                yield Step(f"take up {name}", partial(self._take_up, name), True)
        for name, asker in self.askers.items():
            if name in self.paused:
                yield Step(f"wake {name}", partial(self._pause, name, False), True)
                continue
            if left.pauses:
                yield Step(f"pause {name}", partial(self._pause, name, True), True)
            if left.runs:
                yield Step(f"run {name}", partial(self._again, name), True)
            if asker.held_token(self.local(name), TASK) is not None:
                if left.acts:
                    yield Step(f"act {name}", partial(self._act, name))
                if left.releases:
                    yield Step(f"release {name}", partial(self._release, name))

    def _spend(self, **what: int) -> Model:
        twin = self.copy()
        twin.budget = replace(self.budget, **{name: getattr(self.budget, name) - n for name, n in what.items()})
        return twin

    def _deliver(self, number: int) -> Model:
        twin = self.copy()
        flying = self.flying[number]
        twin.flying = self.flying[:number] + self.flying[number + 1 :]
        twin._hand(flying)
        twin._collect()
        return twin

    def _hand(self, flying: Flying) -> None:
        if flying.message is None:
            if flying.token >= self.fence or not self.make.fenced:
                if flying.token < self.fence:
                    self.fault = f"an act under {flying.token} was taken after {self.fence}"
                self.fence = max(self.fence, flying.token)
        elif flying.to in self.voters:
            self.voters[flying.to].on_message(self.local(flying.to), flying.sender, flying.message)
        elif flying.to in self.askers:
            self.askers[flying.to].on_message(self.local(flying.to), flying.sender, flying.message)

    def _lose(self, number: int) -> Model:
        twin = self._spend(drops=1)
        twin.flying = self.flying[:number] + self.flying[number + 1 :]
        return twin

    def _copied(self, number: int) -> Model:
        twin = self._spend(copies=1)
        twin.flying = (*self.flying, self.flying[number])
        return twin

    def _sync(self, name: str, well: bool) -> Model:
        twin = self.copy() if well else self._spend(failures=1)
        voter = twin.voters[name]
        write = voter.pending_writes.popleft()
        if well:
            twin.disks[name].sync(write)
        voter.on_written(write, well)
        twin._collect()
        return twin

    def _start(self, name: str, empty: bool) -> Model:
        """The process ends at this instant, with what was not synced, and starts at once: a longer pause is a loss of
        messages."""
        twin = self._spend(wipes=1) if empty else self._spend(starts=1)
        if empty:
            twin.disks[name] = self.make.disk()
        twin._boot(name)
        twin._collect()
        return twin

    def _boot(self, name: str) -> None:
        disk = self.disks[name]
        self.voters[name] = self.make.voter(
            name, self.settings(name), self.local(name), disk.memory, tuple(disk.rows.values())
        )

    def _take_up(self, name: str) -> Model:
        """It starts anew with the next set of voters in its settings."""
        twin = self.copy()
        twin.taken = self.taken | {name}
        if name in self.disks:
            twin._boot(name)
            twin._collect()
            return twin
        return twin._run(name)

    def _next(self) -> float | None:
        """When something is due next: a timer, or the end of a grant or of a belief."""
        cores: list[tuple[str, Acceptor | LeaseClient]] = [*self.askers.items(), *self.voters.items()]
        dues = [
            max(self.now, due / self.make.rate(name))
            for name, core in cores
            if name not in self.paused and (due := core.next_tick_at()) is not None
        ]
        ends = [(name, seat.expires_at) for name, voter in self.voters.items() for seat in voter.records.values()]
        ends += [(name, wish.expires_at) for name, asker in self.askers.items() for wish in asker.requests.values()]
        dues += [end / self.make.rate(name) for name, end in ends if end / self.make.rate(name) > self.now]
        return min(dues, default=None)

    def _pass(self, busy: bool) -> Model:
        twin = self._spend(delays=1) if busy else self.copy()
        due = self._next()
        assert due is not None
        twin.now = due + ROUNDING
        twin._tick()
        return twin

    def _tick(self) -> None:
        for name, voter in self.voters.items():
            voter.tick(self.local(name))
        for name, asker in self.askers.items():
            if name not in self.paused:
                asker.tick(self.local(name))
        self._collect()

    def _pause(self, name: str, paused: bool) -> Model:
        twin = self._spend(pauses=1) if paused else self.copy()
        twin.paused = self.paused | {name} if paused else self.paused - {name}
        if not paused:
            twin.askers[name].tick(twin.local(name))
            twin._collect()
        return twin

    def _again(self, name: str) -> Model:
        return self._spend(runs=1)._run(name)

    def _run(self, name: str) -> Model:
        twin = self.copy()
        twin.runs[name] += 1
        twin.askers[name] = self.make.asker(name, f"{name}/{twin.runs[name]}", twin.settings(name))
        twin.askers[name].acquire(twin.local(name), TASK, self.make.length_ms)
        twin.askers[name].tick(twin.local(name))
        twin._collect()
        return twin

    def _act(self, name: str) -> Model:
        twin = self._spend(acts=1)
        token = self.askers[name].held_token(self.local(name), TASK)
        assert token is not None
        twin.flying = (*self.flying, Flying(name, "thing", None, token))
        return twin

    def _release(self, name: str) -> Model:
        twin = self._spend(releases=1)
        asker, now = twin.askers[name], twin.local(name)
        others = [other for other in self.askers if other != name]
        asker.release(now, TASK, others[0] if others else "")
        asker.acquire(now, TASK, self.make.length_ms)
        asker.requests[TASK].next_step_at = now + self.make.length_ms
        twin._collect()
        return twin

    def _collect(self) -> None:
        """What the cores put out goes on its way; what is won is compared with what was won before."""
        left = self.budget
        if not (left.starts or left.wipes or left.failures):  # when a sync ends makes no difference any more
            self._sync_all()
        cores: list[tuple[str, Acceptor | LeaseClient]] = [*self.voters.items(), *self.askers.items()]
        for name, core in cores:
            while core.outbox:
                to, message = core.outbox.popleft()
                self.flying += (Flying(name, to, message),)
        for name, asker in self.askers.items():
            while asker.events:
                event = asker.events.popleft()
                if isinstance(event, LeaseAcquired):
                    if event.token <= self.won:
                        self.fault = f"{name} won under {event.token} after {self.won}"
                    if event.inherited_note < self.left:
                        self.fault = f"{name} won under {event.token} and was not told the note {self.left}"
                    self.won = max(self.won, event.token)
                    if self.make.notes:
                        asker.write_note(TASK, b"")
                elif isinstance(event, NoteStored):
                    self.left = max(self.left, LeaseNote(event.token, event.sequence))
            while asker.outbox:  # a note
                to, message = asker.outbox.popleft()
                self.flying += (Flying(name, to, message),)

    # What must hold.

    def check(self) -> None:
        """In every state.  Raises `PropertyError`."""
        if self.fault:
            raise PropertyError(self.fault)
        believe = [name for name, asker in self.askers.items() if asker.held_token(self.local(name), TASK) is not None]
        if len(believe) > 1 and self.make.believed:
            raise PropertyError(f"{' and '.join(believe)} believe that they hold it")

    def heal(self, within_ms: float) -> None:
        """Nothing more goes wrong: somebody holds it within a stated time.  Raises `PropertyError`."""
        world, end = self.copy(), self.now + within_ms
        world.paused = frozenset()
        if world.make.later is not None:
            for name in (*world.disks, *world.askers):
                if name not in world.taken:
                    world = world._take_up(name)
        while not world.fault:
            world._settle()
            world.check()
            if any(asker.held_token(world.local(name), TASK) is not None for name, asker in world.askers.items()):
                return
            due = world._next()
            if due is None or due > end:
                raise PropertyError(f"nobody holds it {within_ms:g} ms after the last fault")
            world.now = due + ROUNDING
            world._tick()
        world.check()

    def _settle(self) -> None:
        """All that is under way arrives, all that waits for a disk is safe."""
        while self.flying or any(voter.pending_writes for voter in self.voters.values()):
            flying, self.flying = self.flying, ()
            for one in flying:
                self._hand(one)
            self._sync_all()
            self._collect()

    def _sync_all(self) -> None:
        for name, voter in self.voters.items():
            while voter.pending_writes:
                write = voter.pending_writes.popleft()
                self.disks[name].sync(write)
                voter.on_written(write, True)


def _ahead(when: float | None, now: float) -> float | None:
    """A time from now on; all that is over is alike."""
    return None if when is None or when <= now else round(when - now, 3)
