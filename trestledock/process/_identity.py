"""
Identity and timing
===================

The name of an instance and the intervals of its protocols.  Both are read from
the settings at startup and stay constant.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Identity:
    """The name of an instance, its incarnation and its data centre.

    The incarnation differs for every start of the process, so that
    reservations and claims of earlier incarnations can be told apart.
    """

    instance: str
    incarnation: str
    data_centre: str

    @property
    def member(self) -> str:
        """The unique name of this incarnation."""
        return f'{self.instance}#{self.incarnation}'


@dataclass(frozen=True)
class Timing:
    """Intervals and timeouts of the process, in seconds.

    A peer is unreachable after `peer_dead_s` without a sign of it, and removed
    after `forget_peer_s`.  A new epoch is proposed once its members have been
    stable for `epoch_settle_s`.  A new lease holder waits `order_flight_s` for
    the previous holder's orders to arrive.  Snapshots follow one another after
    `snapshot_s` to twice that time.  A step later than `pause_s` after the
    previous one counts as a pause of the process.
    """

    heartbeat_s: float = 1.0
    peer_dead_s: float = 4.0
    forget_peer_s: float = 60.0
    epoch_settle_s: float = 2.0
    claim_retry_s: float = 0.25
    cancel_retry_s: float = 0.5
    lease_s: float = 10.0
    lease_margin_s: float = 2.0
    order_flight_s: float = 3.0
    snapshot_s: float = 60.0
    pause_s: float = 3.0
    append_retry_s: float = 1.0


#: The number of peers that get each heartbeat, in the own data centre and in
#: the others.
LOCAL_FANOUT = 3
REMOTE_FANOUT = 1
