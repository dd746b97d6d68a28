"""Which zones operators have evacuated: their targets get nothing until the zone is taken back.

An evacuation is an entry of the configuration's topic, so it reaches every host with the
configuration, without reads or messages of its own, and is read again by hosts that start. The load
pattern: a third of all targets is taken out of use at once while traffic goes on, and comes back
without cached prompts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from savoryfork.forward.knowledge import Entry

# Returns the zone that the entry of a key evacuates; None for other keys.
Decoder = Callable[[str], str | None]


def evacuated_zones(entries: Iterable[Entry], decode: Decoder) -> frozenset[str]:
    """Returns the zones that are evacuated by entries; a deleted entry evacuates none.

    >>> entries = [Entry(0, "out/a", b"{}"), Entry(1, "out/b", b""), Entry(2, "config", b"{}")]
    >>> evacuated_zones(entries, lambda key: key[4:] if key.startswith("out/") else None)
    frozenset({'a'})
    """
    zones = (decode(entry.key) for entry in entries if entry.value)
    return frozenset(zone for zone in zones if zone is not None)
