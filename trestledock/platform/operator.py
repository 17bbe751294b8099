"""
Operator access to the store
============================

What an operator reads and changes in the platform's store by hand: requests and
parts of prompts that go to no target, as they crash those that run them.
"""

from dataclasses import replace

from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._quarantine import QuarantineTopic
from trestledock.relay import QuarantineRecord


async def read_quarantine(store: str) -> tuple[QuarantineRecord, ...]:
    """Return what is quarantined, from the store at `HOST:PORT`."""
    topic = QuarantineTopic(store, StoreEpochs())
    stored = await topic.read_whole()
    return tuple(record for record in stored.records if record.incarnations)


async def release(store: str, name: str) -> bool:
    """Clear a name of its crashes; return whether it was quarantined.

    All entries learn of it within seconds. Later crashes count again.
    """
    topic = QuarantineTopic(store, StoreEpochs())
    for record in await read_quarantine(store):
        if record.name == name:
            cleared = (*record.cleared, *record.incarnations)
            released = replace(
                record, incarnations=(), ages_s=(), probes=0, cleared=cleared
            )
            return await topic.write_records([released])
    return False
