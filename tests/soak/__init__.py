"""
Fault-injection soak test
=========================

Runs entries as real processes on loopback between a fake load balancer and
fake targets with a fake store.  A seed decides which faults hit connections,
processes and configurations, and when.  What callers, targets and the operator
observe is recorded in a ledger, and the guarantees are checked on the ledger.

    python -m tests.soak --seed 7
"""
