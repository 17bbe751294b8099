"""
Entry process
=============

Runs an entry from reading its settings to its graceful shutdown: listeners, the
store, the other entries, signals.
"""

import asyncio
import signal
import uuid
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Callable

import anyio
from anyio.abc import TaskGroup

from trestledock.clock import has_boottime_clock
from trestledock.entry._app import EntryApp
from trestledock.entry import _events as events
from trestledock.entry._dialect import Dialect, Directory
from trestledock.entry._crash_exchange import EndsExchange
from trestledock.entry._follower import Follower
from trestledock.entry._gossip import Gossip
from trestledock.entry._quarantine_sync import Keeping
from trestledock.entry._loads import LoadExchange
from trestledock.entry._logger import emit
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._notices_exchange import NoticesExchange
from trestledock.entry._relaying import Relayer
from trestledock.entry._sending import Sender
from trestledock.entry._store_repair import Restoring
from trestledock.entry._server import Server, listen
from trestledock.entry._settings import EntrySettings
from trestledock.entry._state import EntryState
from trestledock.entry._target_connections import start_connections
from trestledock.entry._tickets import Tickets

SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
#: How long new connections are accepted after the request to stop, in seconds:
#: the balancer checks readiness once a second and needs two failures.
DRAIN_DELAY_S = 3.0
#: The parts of the grace period that are reserved for the final answers to
#: unanswered requests, and for the exit itself, in seconds.
END_MARGIN_S = 0.7
EXIT_MARGIN_S = 0.3
MakeDirectory = Callable[[EntrySettings], Directory]


async def run_entry(
    read_settings: Callable[[], EntrySettings],
    dialect: Dialect,
    make_directory: MakeDirectory,
) -> None:
    """Run an entry until SIGTERM, then shut it down gracefully.

    The settings are read again at each signal.  The newest grace period
    applies; other changes, such as addresses, are logged and need a restart.
    """
    settings = read_settings()
    executor = ThreadPoolExecutor(initializer=_block_signals)
    asyncio.get_running_loop().set_default_executor(executor)
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as group:
            member = f'{settings.instance}#{uuid.uuid4().hex[:8]}'
            state = EntryState(settings, member, Random(member), group)
            server = Server()
            _start(state, dialect, make_directory(settings), server)
            emit(
                events.Started(
                    state.member, settings.data_centre, has_boottime_clock()
                )
            )
            async for signum in signals:
                settings = _reload_settings(read_settings, settings)
                if signum != signal.SIGHUP:
                    break
                changed = settings != state.settings
                emit(events.ReloadAsked(changed=changed))
            await _drain(state, server, settings.grace_s)
            _block_signals()
            group.cancel_scope.cancel()
    emit(events.Ended(state.in_progress))


def _block_signals() -> None:
    """Block signals in the current thread.

    Worker threads always block them.  The main thread does so before it exits:
    once the handlers are removed, a signal would kill the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def _reload_settings(
    read_settings: Callable[[], EntrySettings],
    current: EntrySettings,
) -> EntrySettings:
    """Return the newest settings, or the current ones if that fails.

    The file may be half written, and a fault in it is no reason to end the
    requests in progress.
    """
    try:
        return read_settings()
    except Exception:
        emit(events.Failed('settings'), failed=True)
        return current


def _start(
    state: EntryState,
    dialect: Dialect,
    directory: Directory,
    server: Server,
) -> None:
    group: TaskGroup = state.group
    gossip = Gossip(state)
    pool, tunnels = start_connections(state, gossip, dialect)
    EndsExchange(gossip)
    NoticesExchange(gossip)
    exchange = UpdateExchange(state, gossip)
    loads = LoadExchange(state, gossip)
    follower = Follower(state, directory, pool, exchange)
    tickets = Tickets(state, pool, dialect)
    relayer = Relayer(state, dialect, Sender(state, pool, dialect, tickets))
    app = EntryApp(state, relayer, dialect, exchange, loads, tunnels)
    keeping = Keeping(state, directory.quarantine, follower.is_reader)
    restoring = Restoring(state, directory, gossip, follower.is_reader)
    state.keep_running(follower.run)
    state.keep_running(keeping.run)
    state.keep_running(restoring.run)
    state.keep_running(gossip.run)
    group.start_soon(listen, state, app, server)


async def _drain(state: EntryState, server: Server, grace_s: float) -> None:
    """Report unready, serve until the balancer has noticed, then finish.

    The drain lasts until all connections are closed, since answers may still
    wait in their buffers.  Requests without an answer at its end are refused or
    reported as failed.
    """
    state.draining = True
    state.notify_own()
    emit(events.Draining(state.in_progress))
    await anyio.sleep(DRAIN_DELAY_S)
    state.closing = True
    server.stop.set()
    with anyio.move_on_after(grace_s - DRAIN_DELAY_S - END_MARGIN_S):
        await server.ended.wait()
    state.abort_requests()
    with anyio.move_on_after(END_MARGIN_S - EXIT_MARGIN_S):
        await server.ended.wait()
