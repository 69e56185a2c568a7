"""What lies between the allocators of a play and those they talk to: the relays that its faults name.

A place is `list` (from an allocator to its directory), `agents` or `owners` (from those to one). Each
allocator has a wire of its own at each place that the script has faults for; elsewhere there is no relay.
What passed, and when a wire was not itself, goes to the record: the verdict needs nothing else."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address
from glencleat.emulators.proxy import Proxy, ProxyEvent
from glencleat.emulators.proxy_faults import Direction, FaultSchedule, ProxyFault
from glencleat.emulators.script import Script, ScriptFault
from glencleat.event_loop import Loop

END_KINDS = ("ended", "reset", "refused")


class ProxyNetwork:
    """The relays of one play, by place and allocator."""

    def __init__(self, loop: Loop, recorder: TraceRecorder, script: Script) -> None:
        self.loop, self.recorder, self.seed = loop, recorder, script.play.seed
        self.started_at = loop.now()
        self.faulty_wires = {(place, at.of) for at in script.at for place in at.wire_places()}
        self.proxies_by_place: dict[str, dict[str, Proxy]] = defaultdict(dict)
        self.byte_counts = Counter[
            tuple[str, str, int, Direction]
        ]()  # bytes of the connections that are open

    def connect_address(self, place: str, allocator: str, target: Address) -> Address:
        """Where to connect for this target: a relay of its own where the script has faults, else itself.

        Asked again for the same wire, as when its allocator is restarted, it gives the same relay."""
        if not {(place, ""), (place, allocator)} & self.faulty_wires:
            return target
        relay = self.proxies_by_place[place].get(allocator)
        if relay is None:
            relay = self.proxies_by_place[place][allocator] = Proxy(
                self.loop,
                f"{place} {allocator}",
                target,
                FaultSchedule(),
                self.seed,
                lambda passed: self._passed(place, allocator, passed),
                began_ms=self.started_at,
            )
        return relay.address

    def _passed(self, place: str, allocator: str, passed: ProxyEvent) -> None:
        """Pieces are added up: a play's thousands of heartbeats would fill its record."""
        if passed.kind == "piece":
            self.byte_counts[place, allocator, passed.number, passed.direction] += passed.size
            return
        self._add(place, allocator, passed.number, state=passed.kind)
        if passed.kind in END_KINDS:
            for way in Direction:
                self._add_bytes(place, allocator, passed.number, way)

    def _add(self, place: str, allocator: str, number: int, **fields: object) -> None:
        self.recorder.add("passed", who=place, allocator=allocator, number=number, **fields)

    def _add_bytes(self, place: str, allocator: str, number: int, way: Direction) -> None:
        if size := self.byte_counts.pop((place, allocator, number, way), 0):
            self._add(place, allocator, number, state="bytes", size=size, text=way.value)

    def begin_fault(self, at: ScriptFault) -> Callable[[], None]:
        """Begins it on every wire that it names; what is returned ends what it began in the record.

        The weather knows its end from the start: what a cut holds back is given the time of its end."""
        wires = self._of(at)
        now = self.loop.now() - self.started_at
        for place, name, relay in wires:
            relay.fault_schedule.add_fault(ProxyFault(now, at.duration, at.state_overrides()))
            self._tell(place, name, at, "begins")

        def end() -> None:
            for place, name, _ in wires:
                self._tell(place, name, at, "ends")

        return end

    def _tell(self, place: str, name: str, at: ScriptFault, state: str) -> None:
        late = at.delay + at.spread
        self.recorder.add("wire", who=place, allocator=name, state=state, reason=at.wire_effect(), left=late)

    def reset_connections(self, at: ScriptFault) -> None:
        for _, _, relay in self._of(at):
            relay.reset_connections()

    def make_half_open(self, at: ScriptFault) -> None:
        for _, _, relay in self._of(at):
            for pair in list(relay.connections.values()):
                pair.make_half_open()

    def _of(self, at: ScriptFault) -> list[tuple[str, str, Proxy]]:
        """Place, allocator and relay of the wires that a fault names."""
        relays = (
            (place, name, relay)
            for place in at.wire_places()
            for name, relay in self.proxies_by_place[place].items()
        )
        return [(place, name, relay) for place, name, relay in relays if at.of in ("", name)]

    def record_open_bytes(self) -> None:
        """Tells of what is still open, before the record ends."""
        for place, allocator, number, way in list(self.byte_counts):
            self._add_bytes(place, allocator, number, way)

    def close(self) -> None:
        for relays in self.proxies_by_place.values():
            for relay in relays.values():
                relay.close()
