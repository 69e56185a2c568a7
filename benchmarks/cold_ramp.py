"""By model, no processes: what all allocators together offer a host that has just started, in any window.

    python -m benchmarks.cold_ramp --seeds 1000

Every allocator has a task for it at all times. Each is told of the start 0 to 2 s late; seven in ten are
killed at two random moments and begin anew 0.2 to 1 s later, with nothing remembered. The turns are the
module's own `may_start`; beside them, its state before it counted what an earlier life may have sent; token
buckets of an even rate whose first token is at a random moment; and parts that grow with how warm the host
should be by then."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from random import Random

import click

from benchmarks.common import table
from glencleat import interface as api
from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.policy.cluster_state import MachineState
from glencleat.policy.resources import NEVER_MS
from glencleat.policy.scheduler import Scheduler
from glencleat.policy.warm_up import may_start

WINDOW_MS, COLD_MS, OFFERS, STEP_MS, STEPS = 1_000.0, 10_000.0, 10.0, 50.0, 120
CLASS = api.TaskClass("safe", api.Idempotency.IDEMPOTENT, 1_000.0, 8_000.0, 1.0)
SIZE = api.MachineSize(16.0, 32.0)


class Turns:
    """The module, as it is, or as it was (`anew`: what an earlier life sent is forgotten)."""

    def __init__(self, me: int, peers: int, now: float, start: float, random: Random, anew: bool) -> None:
        cold = {"warm_up_ms": COLD_MS, "warm_up_window_ms": WINDOW_MS, "warm_up_offers": OFFERS}
        settings = api.Settings(me, peers, "a", (CLASS,), {"std": SIZE}, **cold)
        self.state = Scheduler(settings, 1).state
        self.state.started_at_ms = NEVER_MS if anew else now
        self.node = MachineState(
            api.Machine("m", "std", "a", 0, api.MachinePhase.SERVING, 16.0, 32.0, start), SIZE
        )

    def offers(self, now: float) -> bool:
        self.state.now_ms = now
        if not may_start(self.state, self.node):
            return False
        self.node.warm_up_sends_ms.append(now)
        return True


class Bucket:
    def __init__(self, me: int, peers: int, now: float, start: float, random: Random) -> None:
        self.rate, self.tokens, self.at = OFFERS / peers / WINDOW_MS, random.random(), now

    def offers(self, now: float) -> bool:
        self.tokens, self.at = min(1.0, self.tokens + self.rate * (now - self.at)), now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Ramp:
    """Its part of three times the budget by the time that the host is told to be warm."""

    def __init__(self, me: int, peers: int, now: float, start: float, random: Random) -> None:
        self.peers, self.start, self.random, self.sent = peers, start, random, list[float]()

    def offers(self, now: float) -> bool:
        self.sent = [at for at in self.sent if now - at < WINDOW_MS]
        part = OFFERS * (1.0 + 2.0 * min(1.0, (now - self.start) / COLD_MS)) / self.peers
        least = int(part) + (self.random.random() < part - int(part))
        if len(self.sent) >= least:
            return False
        self.sent.append(now)
        return True


OPTIONS: dict[str, Callable[..., Turns | Bucket | Ramp]] = {
    "turns, an earlier life counts (chosen)": lambda *given: Turns(*given, anew=False),
    "turns, as before": lambda *given: Turns(*given, anew=True),
    "token buckets, phases drawn": Bucket,
    "parts that grow with warmth": Ramp,
}


def play(option: str, peers: int, seed: int) -> tuple[int, float]:
    """The most offers in any window; those of a window in the mean."""
    random, start = Random(seed), 1_000_000.0
    make = OPTIONS[option]
    told = [start + random.uniform(0.0, 2_000.0) for _ in range(peers)]
    kills = {random.randrange(STEPS) for _ in range(2)}
    made: dict[int, Turns | Bucket | Ramp] = {}
    sent: list[float] = []
    for step in range(STEPS):
        now = start + STEP_MS * step
        for i in range(peers):
            if now < told[i]:
                continue
            if i not in made:
                made[i] = make(i, peers, now, start, random)
            if made[i].offers(now):
                sent.append(now)
        if step in kills:
            for i in random.sample(range(peers), int(0.7 * peers)):
                made.pop(i, None)
                told[i] = max(told[i], now + random.uniform(200.0, 1_000.0))
    return count_busiest_window(sent, WINDOW_MS), len(sent) * WINDOW_MS / (STEPS * STEP_MS)


def plays(given: tuple[str, int, int]) -> tuple[int, float]:
    option, peers, seeds = given
    found = [play(option, peers, seed) for seed in range(seeds)]
    return max(most for most, _ in found), sum(mean for _, mean in found) / seeds


@click.command()
@click.option("--seeds", default=1_000)
def main(seeds: int) -> None:
    cases = [(option, peers, seeds) for peers in (2, 16, 20, 30, 300) for option in OPTIONS]
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(plays, cases))
    bound = (OFFERS + 2.0 * sqrt(OFFERS) + 2.0) / OFFERS
    rows = []
    for (option, peers, _), (most, mean) in zip(cases, found, strict=True):
        kept = "kept" if most <= bound * OFFERS else "**broken**"
        rows.append([str(peers), option, f"{most / OFFERS:.2f}", kept, f"{mean / OFFERS:.2f}"])
    limit = f"at most {bound:.2f} (N + 2 x root of N + 2)"
    head = ["allocators", "option", "greatest in any window", limit, "in the mean"]
    title = "Offers to a cold host by all allocators together, parts of its budget N"
    notes = "Every allocator has a task for it at all times; seven in ten are killed twice. By model alone."
    table("cold-ramp", title, f"{seeds} seeds each, N = 10", head, rows, notes)


if __name__ == "__main__":
    main()
