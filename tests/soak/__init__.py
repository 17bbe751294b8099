"""
Fault soak
==========

Runs entries as real processes on loopback behind a stand-in balancer, before
stand-in targets and a stand-in store, while connections, processes and
configurations are disturbed in an order that a seed draws.  What callers,
targets and the operator saw is written to a ledger, and the promises are
checked on the ledger.

    python -m tests.soak --seed 7
"""
