"""
Stand-ins
=========

Small servers that replace the platform, the engines and the services in tests
and in the demo.  The models behind them run without HTTP too, for the
simulations in `proof` and `bench`.
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
