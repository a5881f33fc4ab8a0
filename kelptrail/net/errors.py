"""Classifies the errors of failed socket calls: transient, a shortage of local resources, or the end of a connection.

The lists follow the Linux manual pages send(2), recv(2), connect(2), accept(2) and socket(2).
"""

from __future__ import annotations

import errno

# Errors of send(2) and recv(2) after which the call may succeed a moment later; the connection is intact.
TRANSIENT = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# The local host lacked a resource, so the failure says nothing about the peer.
LOCAL_SHORTAGES = TRANSIENT | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EADDRINUSE}

# The route to the peer may be missing only for a moment, for example while routes change.
ROUTE_FAILURES = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ECONNABORTED})

# Errors of accept(2) that concern only the connection being accepted; the next one in the queue may succeed.
ACCEPT_RETRYABLE = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.ENETDOWN,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    }
)


def is_transient(cause: OSError) -> bool:
    """Return whether a send or receive that failed with `cause` may be retried on the same connection."""
    return cause.errno in TRANSIENT


def is_local_shortage(cause: OSError) -> bool:
    """Return whether a call failed for lack of a local resource, which says nothing about the peer."""
    return cause.errno in LOCAL_SHORTAGES


def is_connect_retryable(cause: OSError) -> bool:
    """Return whether a connect that failed with `cause` is worth a retry within its time limit."""
    return cause.errno in LOCAL_SHORTAGES or cause.errno in ROUTE_FAILURES


def is_accept_retryable(cause: OSError) -> bool:
    """Return whether an accept failed for one client only, so that the next in the queue can be accepted at once."""
    return cause.errno in ACCEPT_RETRYABLE
