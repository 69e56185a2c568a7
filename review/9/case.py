"""Case 9: a machine that vanishes for six seconds and comes back cold; the end of its task is told too late."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s

TASK = 0x7F3A9C21E0B4D655
AWAY_S, LISTED_AFTER_S, LIMIT_S = 6.4, 2.3, 8.0 + s.SLACK_S


async def case(world, trouble):
    await world.start()
    owner = await s.Owner(world.record, "owner").connect(world.allocator.address)
    owner.say(s.setup(TASK, "pulls", "00000000b4d65521", 8000))
    if await owner.wait(s.ANSWER, TASK, 5.0) is None:
        raise RuntimeError("the task was not placed")
    host = world.host_of(TASK)
    await asyncio.sleep(3.0)
    ended_at = world.record.now()
    if trouble:
        await host.vanish()
        ended_at = world.record.now()
        await asyncio.sleep(AWAY_S)
        await host.come_back_cold()
        await asyncio.sleep(LISTED_AFTER_S)
        world.channel.publish(host.entry())
    else:
        host.end(TASK)
    told = await owner.wait(s.RELEASE, TASK, 20.0 + ended_at - world.record.now())
    if owner.is_closed:
        raise RuntimeError("the owner's connection has ended")
    after = "never" if told is None else f"{told[0] - ended_at:.3f} s"
    world.record(f"the release of the task came after its end by: {after}")
    if told is None or told[0] - ended_at > LIMIT_S:
        return f"the release of the lost task came after its end by {after}; the limit is 8 s and 50 ms"
    return ""


s.run_case(__file__, case)
