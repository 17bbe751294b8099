"""Engines and fleets that tests of placement share."""

from trestledock.bench.ablation import ENGINE
from trestledock.relay import EngineModel, ListedTarget, Standing

#: Engines with memory for 405,000 tokens: 182,000 are read in 3.9 s, 790,000
#: in 55 s.
LARGE_ENGINE = ENGINE
#: Engines with memory for 232,000 tokens: 133,000 are read in 1.9 s.
SMALL_ENGINE = EngineModel(
    batch=8,
    capacity_tokens=232_000,
    step_s=0.00102,
    read_rate=206_000,
    step_request_s=4.52e-6,
    step_context_s=4.31e-9,
    pair_s=1.38e-10,
    stride=43,
)
#: A fleet of 18 in one data centre.
TARGETS = tuple(
    ListedTarget(f't{one:02}', 's', f'10.0.0.{one}:80', 'dc', Standing.ready, 8)
    for one in range(18)
)
