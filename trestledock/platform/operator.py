"""
Operator access to the store
============================

What an operator reads and changes in the platform's store by hand: requests and
parts of prompts that go to no target, as they crash those that run them.
"""

from dataclasses import replace

from trestledock.entry import DirectoryError, WireError
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._quarantine import QuarantineTopic
from trestledock.relay import QuarantineRecord

#: The exceptions of a store that is not reached or not understood.
READ_ERRORS = (OSError, DirectoryError, WireError, ValueError)


async def read_quarantine(store: str) -> tuple[QuarantineRecord, ...]:
    """Return what is quarantined, from the store at `HOST:PORT`."""
    topic = QuarantineTopic(store, StoreEpochs())
    stored = await topic.read_whole()
    return tuple(record for record in stored.records if record.incarnations)


async def show_quarantine(store: str) -> list[str]:
    """Return a line for each quarantined name."""
    return [_format(record) for record in await read_quarantine(store)]


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


def _format(record: QuarantineRecord) -> str:
    count = len(record.incarnations)
    return (
        f'{record.name}: {count} crashes, the last one or a probe '
        f'{record.age_s:.0f} s ago, {record.probes} probes'
    )
