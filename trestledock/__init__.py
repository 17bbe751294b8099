"""
Trestledock
===========

A serving layer for prompts of very unlike lengths, and a library of the
coordination parts that it is made of:

- `trestledock.request`: outcomes, attempts, stream assembly, retries;
- `trestledock.version`: configuration, selectors, the fold of the log;
- `trestledock.process`: the core of an instance, claims, epochs, leases;
- `trestledock.connection`: the daemon around the core;
- `trestledock.standin`: small stand-ins for tests.
"""

VERSION = '0.1.0'

__all__ = ('VERSION',)
