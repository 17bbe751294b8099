"""Engines and fleets shared by placement tests."""

from trestledock.bench.ablation import ENGINE
from trestledock.relay import EngineModel, ListedTarget, Standing

#: Engines with memory for 405,000 tokens; prefill takes 3.9 s for 182,000 and
#: 55 s for 790,000.
LARGE_ENGINE = ENGINE
#: Engines with memory for 232,000 tokens; prefill of 133,000 takes 1.9 s.
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
    ListedTarget(
        f't{number:02}', 's', f'10.0.0.{number}:80', 'dc', Standing.ready, 8
    )
    for number in range(18)
)
