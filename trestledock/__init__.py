"""
Trestledock
===========

A serving layer for prompts whose lengths differ widely, and a library of its
coordination components:

- `trestledock.request`: requests, attempts, outcomes, stream assembly, retries;
- `trestledock.version`: configuration, selectors, the fold of the log;
- `trestledock.process`: the core of an instance, claims, epochs, leases;
- `trestledock.connection`: the daemon around the core;
- `trestledock.relay`: decisions about requests that are forwarded unchanged;
- `trestledock.entry`: the entry process around those decisions;
- `trestledock.platform`: the adapter to the users' platform;
- `trestledock.standin`: small fake servers for tests.
"""

VERSION = '0.1.0'

__all__ = ('VERSION',)
