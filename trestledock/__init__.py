"""
Trestledock
===========

A serving layer for prompts of very unlike lengths, and a library of the
coordination parts that it is made of:

- `trestledock.request`: outcomes, attempts, stream assembly, retries;
- `trestledock.version`: configuration, selectors, the fold of the log;
- `trestledock.process`: the core of an instance, claims, epochs, leases;
- `trestledock.connection`: the daemon around the core;
- `trestledock.relay`: decisions on requests that are relayed as they came;
- `trestledock.entry`: the entry process around them;
- `trestledock.platform`: the adapter to the users' platform;
- `trestledock.standin`: small stand-ins for tests.
"""

VERSION = '0.1.0'

__all__ = ('VERSION',)
