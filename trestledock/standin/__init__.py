"""
Stand-ins
=========

Small programs that take the place of the platform, engines and services in
tests, in the demo and in the replay.
"""

from trestledock.standin._engine import (
    EngineServer,
    make_engine,
    make_seed,
)
from trestledock.standin._engine_model import (
    BLOCK_TOKENS,
    EngineEvent,
    EngineModel,
    EngineSpec,
    EventKind,
    Rejected,
    get_token_text,
)
from trestledock.standin._log_model import LogModel, Overloaded
from trestledock.standin._platform import PlatformServer
from trestledock.standin._service import ServiceServer

__all__ = (
    'BLOCK_TOKENS',
    'EngineEvent',
    'EngineModel',
    'EngineServer',
    'EngineSpec',
    'EventKind',
    'LogModel',
    'Overloaded',
    'PlatformServer',
    'Rejected',
    'ServiceServer',
    'get_token_text',
    'make_engine',
    'make_seed',
)
