"""Case 8: the end of a task is never told to an owner that dropped its connection and came again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s

FIRST, SECOND, OTHER, NEXT = (0x7F3A9C21E0B4D655 + n for n in range(4))
AWAY_S, CLOSES_AFTER_S, LIMIT_S, WATCHED_S = 1.0, 4.0, 1.0 + s.SLACK_S, 20.0


async def place(owner, task, service):
    owner.say(s.setup(task, "pulls", service, 8000))
    if await owner.wait(s.ANSWER, task, 5.0) is None:
        raise RuntimeError("a task was not placed")


async def case(world, trouble):
    await world.start()
    other = await s.Owner(world.record, "another owner").connect(world.allocator.address)
    await place(other, OTHER, "00000000b4d65520")
    world.host_of(OTHER).end(OTHER)
    if await other.wait(s.RELEASE, OTHER, 2.0) is None:
        raise RuntimeError("the other owner's task was not released")
    owner = await s.Owner(world.record, "owner, connection 1").connect(world.allocator.address)
    await place(owner, FIRST, "00000000b4d65521")
    await place(owner, SECOND, "00000000b4d65522")
    await asyncio.sleep(CLOSES_AFTER_S)
    other.close()  # "after 4 s they close a connection with no task on it"
    if trouble:  # the owner drops its connection and comes again
        owner.close()
        await asyncio.sleep(AWAY_S)
        owner = await s.Owner(world.record, "owner, connection 2").connect(world.allocator.address)
    owner.say(s.encode(s.TEST, 2, cause=0))
    if await owner.wait(s.TESTED, 2, 2.0) is None:
        raise RuntimeError("the test was not answered")
    owner.say(s.encode(s.RELEASE, FIRST, cause=s.OK))  # the owner ends its first task
    await asyncio.sleep(3.0)
    if any(FIRST in host.tasks for host in world.hosts):
        raise RuntimeError("the first task was not ended at its host")
    world.host_of(SECOND).end(SECOND)  # the second comes to its end by itself
    ended_at = world.record.now()
    told = await owner.wait(s.RELEASE, SECOND, WATCHED_S)
    if owner.is_closed:
        raise RuntimeError("the owner's connection has ended")
    after = "never" if told is None else f"{told[0] - ended_at:.3f} s"
    world.record(f"after the host's release, the owner's connection got the release: {after}")
    if told is None:
        await place(owner, NEXT, "00000000b4d65523")
        came = await owner.wait(s.RELEASE, SECOND, 2.0)
        world.record("a further set-up on the same connection brought it" if came else "nor after a further set-up")
    if told is None or told[0] - ended_at > LIMIT_S:
        return f"the owner's open connection got the release of its ended task: {after}, {WATCHED_S:.0f} s watched"
    return ""


s.run_case(__file__, case)
