"""What a failed system call on a socket says: the one place that tells a moment's failure from an end.

The lists follow the Linux manual pages send(2), recv(2), connect(2), accept(2) and socket(2).
"""

from __future__ import annotations

import errno

# A call that failed with one of these may succeed a moment later; the connection stands.
TRANSIENT = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# Our own side lacked something, so the failure says nothing of the peer.
LOCAL_SHORTAGES = TRANSIENT | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EADDRINUSE}

# The way to the peer may be missing for a moment only, as a route that changes.
ROUTE_FAILURES = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ECONNABORTED})

# accept(2): errors of the one connection that was about to be taken; the next may be well.
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
    """Whether a send or a receive that failed so may be tried again on the same connection."""
    return cause.errno in TRANSIENT


def is_local_shortage(cause: OSError) -> bool:
    """Whether a connect failed for want of something of our own, and says nothing of the peer."""
    return cause.errno in LOCAL_SHORTAGES


def is_connect_retryable(cause: OSError) -> bool:
    """Whether a connect that failed so is worth another try within its time."""
    return cause.errno in LOCAL_SHORTAGES or cause.errno in ROUTE_FAILURES


def is_client_gone(cause: OSError) -> bool:
    """Whether an accept failed for one client only, so that whoever stands behind it can be accepted at once."""
    return cause.errno in CLIENT_GONE
