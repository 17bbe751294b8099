"""
Platform adapter
================

Translates between the formats of the users' platform (settings, store, headers,
requests to targets) and the types of `trestledock.entry` and
`trestledock.relay`.  It makes no decisions, and no other package knows the
platform's names.
"""

import signal

__all__ = ('run',)


def run() -> None:
    """Run an entry until it is asked to stop."""
    # SIGHUP must not terminate a process that is still starting.  Imports take
    # most of the start, so the signal is ignored before them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from trestledock.platform._run import run_entry_process  # noqa: WPS433

    run_entry_process()
