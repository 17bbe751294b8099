"""
Adapter to the users' platform
==============================

Translates between the platform's settings, store, headers and orders and the
types of `trestledock.entry` and `trestledock.relay`.  It decides nothing, and
nothing outside it knows the platform's names.
"""

import signal

__all__ = ('run',)


def run() -> None:
    """Run an entry until it is asked to stop."""
    # A hang-up must not end a process that is still starting, and importing
    # what it runs takes most of that time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from trestledock.platform._run import run_entry_process  # noqa: WPS433

    run_entry_process()
