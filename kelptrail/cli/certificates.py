"""`keys`: a private certificate authority, and keys for namespaces."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from .console import print_json_line
from .errors import CommandFailedError
from .options import ExampleCommand

if TYPE_CHECKING:
    from kelptrail.certificates.authority import IssuedCertificate

T = TypeVar("T")

folder_argument = click.argument("folder", type=click.Path(path_type=Path))


@click.group()
def keys() -> None:
    """Manage a private certificate authority for fronts, workers and clients, and keys for namespaces."""


def _run_authority_operation(operation: Callable[[], T]) -> T:
    """Return the result of `operation`.  Raises `CommandFailedError` if it raises `AuthorityError`."""
    from kelptrail.certificates.authority import AuthorityError

    try:
        return operation()
    except AuthorityError as cause:
        raise CommandFailedError(str(cause)) from None


def _print_certificate(issued: IssuedCertificate) -> None:
    print_json_line(
        name=issued.name,
        names=issued.names,
        use=issued.usage,
        serial=issued.serial,
        begins=issued.valid_from.isoformat(),
        ends=issued.valid_until.isoformat(),
        days_left=round(issued.days_left(datetime.now(UTC)), 1),
    )


@keys.command(cls=ExampleCommand, example="kelptrail keys init keys --name north-authority")
@folder_argument
@click.option("--name", default="kelptrail-authority", show_default=True)
@click.option("--days", default=3650, show_default=True, type=click.IntRange(1, 36_500))
def init(folder: Path, name: str, days: int) -> None:
    """Create an authority in FOLDER.  An existing one is never overwritten."""
    from kelptrail.certificates.authority import Authority

    _print_certificate(
        _run_authority_operation(lambda: Authority.create(folder, name, days, datetime.now(UTC)).list_issued()[0])
    )


@keys.command(cls=ExampleCommand, example="kelptrail keys issue keys front --server --also 127.0.0.1")
@folder_argument
@click.argument("name")
@click.option("--server", is_flag=True, help="For a front or a worker.")
@click.option("--client", is_flag=True, help="For a client, or a dispatcher as a client of its workers.")
@click.option("--also", multiple=True, help="Further DNS name, URI or address to certify; repeatable.")
@click.option("--days", default=90, show_default=True, type=click.IntRange(1, 36_500))
def issue(folder: Path, name: str, server: bool, client: bool, also: tuple[str, ...], days: int) -> None:
    """Issue a certificate; its key and the certificate are written to FOLDER/NAME.pem."""
    from kelptrail.certificates.authority import Authority

    _print_certificate(
        _run_authority_operation(lambda: Authority(folder).issue(name, also, server, client, days, datetime.now(UTC)))
    )


@keys.command(cls=ExampleCommand, example="kelptrail keys rotate keys front")
@folder_argument
@click.argument("name")
@click.option("--days", default=90, show_default=True, type=click.IntRange(1, 36_500))
def rotate(folder: Path, name: str, days: int) -> None:
    """Renew a certificate with a new key; running fronts reload it automatically."""
    from kelptrail.certificates.authority import Authority

    _print_certificate(_run_authority_operation(lambda: Authority(folder).rotate(name, days, datetime.now(UTC))))


@keys.command(cls=ExampleCommand, example="kelptrail keys show keys")
@folder_argument
def show(folder: Path) -> None:
    """Show the authority and the certificates it issued, one JSON line each, without keys."""
    from kelptrail.certificates.authority import Authority

    for issued in _run_authority_operation(lambda: Authority(folder).list_issued()):
        _print_certificate(issued)


@keys.command(cls=ExampleCommand, example="kelptrail keys api")
def api() -> None:
    """Create a key for a namespace: `key` is for its callers, `key_hash` for the settings."""
    from kelptrail.certificates.authority import new_api_key

    key, hashed = new_api_key()
    print_json_line(key=key, key_hash=hashed)
