"""A dispatcher's activation journal: opens it, and recovers the activations that an earlier run accepted."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelptrail.clock import now_ms, wall_ms
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.replication.driver import ReplicationDriver
from kelptrail.settings.deployment import Deployment
from kelptrail.store.activation_journal import ActivationJournal, open_journal
from kelptrail.store.database import JournalError
from kelptrail.store.driver import JournalDriver
from kelptrail.store.group_commit import GroupCommit

JOURNAL_FILE = "book.sqlite"
BYTES_PER_MB = 1e6


@dataclass(frozen=True, slots=True)
class JournalStores:
    """The journal file, None if unusable, and its group commit; both are None if no journal is kept."""

    file: ActivationJournal | None = None
    commits: GroupCommit | None = None


def open_stores(deployment: Deployment, state_folder: Path | None, vfs: str | None, log: Any) -> JournalStores:
    """Create the state folder and open the journal in it.

    An unusable file is logged; blocking calls are then served without a journal, and deferred calls are refused.
    """
    if state_folder is None:
        return JournalStores()
    with contextlib.suppress(OSError):  # components that use the folder report the error
        state_folder.mkdir(parents=True, exist_ok=True)
    settings = deployment.journal
    if not settings.enabled:
        return JournalStores()
    file = _open_file(state_folder / JOURNAL_FILE, settings.max_mb * BYTES_PER_MB, vfs, log)
    commits = GroupCommit(settings.max_pending_entries)
    if file is None:
        commits.failing, commits.reason = True, "the book cannot be used"
    return JournalStores(file, commits)


def _open_file(file: Path, max_bytes: float, vfs: str | None, log: Any) -> ActivationJournal | None:
    try:
        journal, set_aside = open_journal(file, max_bytes, vfs)
    except JournalError as cause:
        log.error("journal-unusable", file=str(file), reason=str(cause))
        return None
    if set_aside is not None:
        log.error("journal-set-aside", file=str(set_aside))
    return journal


def recover_activations(
    deployment: Deployment,
    gateway: Gateway,
    driver: GatewayDriver,
    stores: JournalStores,
    replication: ReplicationDriver | None,
    log: Any,
) -> None:
    """Attach the journal to the gateway and resume the activations that an earlier run accepted.

    Activations that were moved to a replicated journal are recovered from that journal instead.
    """
    if stores.file is None or stores.commits is None:
        return
    driver.journal = JournalDriver(stores.commits, stores.file, driver.schedule_decisions, log)
    gateway.durability.on_forget = driver.journal.forget
    started_ms = now_ms()
    replicated = replication.activation_ids() if replication is not None else set[str]()
    activations = (entries for entries in stores.file.activations() if entries.accepted.id not in replicated)
    recovered = gateway.recover(
        started_ms, wall_ms(), activations, min_run_ms(deployment), deployment.journal.max_resumed
    )
    log.info("recovered", ms=round(now_ms() - started_ms), damaged=stores.file.damaged, **recovered)


def min_run_ms(deployment: Deployment) -> float:
    """Return the remaining time in ms at or below which a recovered activation is not run.

    It is twice the answer margin: besides the margin itself, an attempt and its answer take at least as long again.
    """
    return 2 * deployment.dispatcher.answer_margin_ms
