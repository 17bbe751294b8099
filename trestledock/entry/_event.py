"""
Base of events
==============

The base class of all log events, which also registers their names.
"""

from types import MappingProxyType
from typing import Any, ClassVar, Mapping, dataclass_transform


@dataclass_transform(frozen_default=True)
class Event:
    """Base of all events; the name of the class is the message of the line.

    A subclass lists its fields like a data class. No code is generated for it,
    because generating data classes for these types took some 25 ms of each
    start, a fifteenth of the total.

    >>> from trestledock.entry._events import PeerMet
    >>> PeerMet('entry-1').get_fields()
    {'peer': 'entry-1'}
    """

    names: ClassVar[tuple[str, ...]] = ()
    registry: ClassVar[dict[type['Event'], str]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the names of the fields in order, and register the event."""
        cls.names = tuple(cls.__annotations__)
        cls.registry[cls] = _make_snake_case(cls)

    def __init__(self, *fields: Any, **named: Any) -> None:
        """Set the fields, each given exactly once."""
        values = dict(zip(self.names, fields, strict=False), **named)
        is_once = len(values) == len(fields) + len(named)
        if not is_once or values.keys() != set(self.names):
            raise TypeError(f'{type(self).__name__} needs {self.names}')
        self.__dict__.update(values)

    def __setattr__(self, name: str, value: Any) -> None:
        """Refuse changes, as events are immutable."""
        raise AttributeError(f'{name} is read-only in {type(self).__name__}')

    @classmethod
    def get_name(cls) -> str:
        """Return the name of the class in snake case.

        >>> from trestledock.entry._events import VersionApplied
        >>> VersionApplied.get_name()
        'version_applied'
        """
        return NAMES[cls]

    def get_fields(self) -> dict[str, Any]:
        """Return the fields by name."""
        return {name: getattr(self, name) for name in self.names}


def _make_snake_case(kind: type[Event]) -> str:
    parts = [
        f'_{char.lower()}' if char.isupper() else char for char in kind.__name__
    ]
    return ''.join(parts).lstrip('_')


#: Messages of the log lines by event.
NAMES: Mapping[type[Event], str] = MappingProxyType(Event.registry)
