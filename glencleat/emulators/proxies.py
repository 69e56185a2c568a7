"""What lies between the allocators of a play and those they talk to: the relays that its faults name.

A place is `list` (from an allocator to its directory), `agents` or `owners` (from those to one). Each
allocator has a wire of its own at each place that the script has faults for; elsewhere there is no relay.
What passed, and when a wire was not itself, goes to the record: the verdict needs nothing else."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address
from glencleat.emulators.proxy import Passed, Proxy
from glencleat.emulators.proxy_faults import ProxyFault, Way, Weather
from glencleat.emulators.script import At, Script
from glencleat.event_loop import Loop

ENDS = ("ended", "reset", "refused")


class ProxyNetwork:
    """The relays of one play, by place and allocator."""

    def __init__(self, loop: Loop, recorder: TraceRecorder, script: Script) -> None:
        self.loop, self.recorder, self.seed = loop, recorder, script.play.seed
        self.began = loop.now()
        self.named = {(place, at.of) for at in script.at for place in at.places()}
        self.relays: dict[str, dict[str, Proxy]] = defaultdict(dict)
        self.sizes = Counter[tuple[str, str, int, Way]]()  # bytes of the connections that are open

    def way(self, place: str, allocator: str, target: Address) -> Address:
        """Where to connect for this target: a relay of its own where the script has faults, else itself.

        Asked again for the same wire, as when its allocator is restarted, it gives the same relay."""
        if not {(place, ""), (place, allocator)} & self.named:
            return target
        relay = self.relays[place].get(allocator)
        if relay is None:
            relay = self.relays[place][allocator] = Proxy(
                self.loop,
                f"{place} {allocator}",
                target,
                Weather(),
                self.seed,
                lambda passed: self._passed(place, allocator, passed),
                began_ms=self.began,
            )
        return relay.address

    def _passed(self, place: str, allocator: str, passed: Passed) -> None:
        """Pieces are added up: a play's thousands of heartbeats would fill its record."""
        if passed.kind == "piece":
            self.sizes[place, allocator, passed.number, passed.way] += passed.size
            return
        self._add(place, allocator, passed.number, state=passed.kind)
        if passed.kind in ENDS:
            for way in Way:
                self._add_bytes(place, allocator, passed.number, way)

    def _add(self, place: str, allocator: str, number: int, **fields: object) -> None:
        self.recorder.add("passed", who=place, allocator=allocator, number=number, **fields)

    def _add_bytes(self, place: str, allocator: str, number: int, way: Way) -> None:
        if size := self.sizes.pop((place, allocator, number, way), 0):
            self._add(place, allocator, number, state="bytes", size=size, text=way.value)

    def fault(self, at: At) -> Callable[[], None]:
        """Begins it on every wire that it names; what is returned ends what it began in the record.

        The weather knows its end from the start: what a cut holds back is given the time of its end."""
        wires = self._of(at)
        now = self.loop.now() - self.began
        for place, name, relay in wires:
            relay.weather.add(ProxyFault(now, at.duration, at.fields()))
            self._tell(place, name, at, "begins")

        def end() -> None:
            for place, name, _ in wires:
                self._tell(place, name, at, "ends")

        return end

    def _tell(self, place: str, name: str, at: At, state: str) -> None:
        late = at.delay + at.spread
        self.recorder.add("wire", who=place, allocator=name, state=state, reason=at.effect(), left=late)

    def reset(self, at: At) -> None:
        for _, _, relay in self._of(at):
            relay.reset()

    def half_open(self, at: At) -> None:
        for _, _, relay in self._of(at):
            for pair in list(relay.pairs.values()):
                pair.half_open()

    def _of(self, at: At) -> list[tuple[str, str, Proxy]]:
        """Place, allocator and relay of the wires that a fault names."""
        relays = ((place, name, relay) for place in at.places() for name, relay in self.relays[place].items())
        return [(place, name, relay) for place, name, relay in relays if at.of in ("", name)]

    def end(self) -> None:
        """Tells of what is still open, before the record ends."""
        for place, allocator, number, way in list(self.sizes):
            self._add_bytes(place, allocator, number, way)

    def close(self) -> None:
        for relays in self.relays.values():
            for relay in relays.values():
                relay.close()
