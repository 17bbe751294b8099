"""
Instance settings
=================

The settings file of an entry instance: its name, its addresses and the address
of the platform.  Validated like configurations, by `trestledock.version`.
"""

from dataclasses import dataclass, field

from trestledock.process import Timing


@dataclass(frozen=True)
class Settings:
    """The settings of an entry instance.

    Addresses consist of an IP address and a port.  Names of times end in `_s`
    (seconds).  `chars_per_token` is used to estimate the tokens of a prompt.
    """

    instance: str
    data_centre: str
    listen: str
    platform: str
    public: str = ''
    max_body_bytes: int = 16_777_216
    chars_per_token: float = 4.0
    notice_s: float = 2.0
    handover_s: float = 10.0
    poll_load_s: float = 1.0
    poll_others_s: float = 10.0
    poll_cache_s: float = 5.0
    poll_list_s: float = 1.0
    platform_timeout_s: float = 5.0
    target_connect_s: float = 2.0
    timing: Timing = field(default_factory=Timing)

    @property
    def address(self) -> str:
        """The address at which peers reach this instance."""
        return self.public or self.listen
