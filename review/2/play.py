"""A client closes its idle connection; its task ends while its next connection carries no placed task."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from peers import LARGE, MEDIUM, SLACK_S, Case, Client, Host, main, set_up  # noqa: E402

TASK = 0x7F3A9C21E0B4D655


async def play(case: Case) -> list[str]:
    medium = [Host(case.record, f"s-00c41f{i:02x}", MEDIUM, f"hall-{'abc'[i]}", i) for i in range(3)]
    large = [Host(case.record, f"s-00d52a{i:02x}", LARGE, f"hall-{'abc'[i]}", i) for i in range(2)]
    for host in large:  # full of other allocators' tasks
        host.foreign = 2.0 * LARGE[0] - 4.0, 1.5 * LARGE[1] - 8.0
    await case.start(medium + large, allocators=3)
    await case.start_allocators()
    address = case.allocators[0].address

    first = Client(case.record, "c1")
    await first.connect(address)
    first.send(TASK, set_up(TASK, "pull-front", "web-front", 1.0, 2.0), (1.0, 2.0))
    await asyncio.sleep(4.2)
    assert TASK in first.answers, "the task was not placed"
    if case.trouble:
        first.close()  # idle for 4 s
    second = Client(case.record, "c2")
    await second.connect(address)
    host = next(host for host in medium if TASK in host.standing)

    async def ask_again() -> None:
        """The owner of a large task asks, and again 2 s after each refusal."""
        number = 0x31A0
        while True:
            number += 1
            second.send(number, set_up(number, "store-compact", "compact", 22.0, 53.0, retry=number > 0x31A1), (22.0, 53.0))
            while number not in second.answers and second.ended_at is None:
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)

    asking = asyncio.ensure_future(ask_again())
    await asyncio.sleep(1.0)
    host.end(TASK)
    await asyncio.sleep(25.0)
    asking.cancel()
    case.check_alive()
    assert second.ended_at is None, "the second connection has ended"
    told = [client.over[TASK] - host.released_at[TASK] for client in (first, second) if TASK in client.over]
    if not told:
        return [f"{TASK:x} is over and was never released towards its client in 25 s"]
    if min(told) > 1.0 + SLACK_S:
        return [f"{TASK:x} was released towards its client {min(told):.2f} s after the host's release"]
    return []


main(Path(__file__).resolve().parent / "record.txt", play)
