"""What the error of a failed socket call means: transient, a shortage of our own, or the end of the connection.

The lists follow the Linux manual pages send(2), recv(2), connect(2), accept(2) and socket(2).
"""

from __future__ import annotations

import errno

# A call that failed with one of these may succeed a moment later; the connection is intact.
TRANSIENT = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# Our own side lacked a resource, so the failure says nothing about the peer.
LOCAL_SHORTAGES = TRANSIENT | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EADDRINUSE}

# The route to the peer may be missing only briefly, as while routes change.
ROUTE_FAILURES = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ECONNABORTED})

# accept(2): errors of the one connection that was to be accepted; the next one may succeed.
CLIENT_GONE = frozenset(
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
    """Whether a send or receive that failed with `cause` may be retried on the same connection."""
    return cause.errno in TRANSIENT


def is_local_shortage(cause: OSError) -> bool:
    """Whether a connect failed for lack of a local resource, which says nothing about the peer."""
    return cause.errno in LOCAL_SHORTAGES


def is_connect_retryable(cause: OSError) -> bool:
    """Whether a connect that failed with `cause` is worth a retry within its time limit."""
    return cause.errno in LOCAL_SHORTAGES or cause.errno in ROUTE_FAILURES


def is_client_gone(cause: OSError) -> bool:
    """Whether an accept failed for one client only, so that the next in the queue can be accepted at once."""
    return cause.errno in CLIENT_GONE
