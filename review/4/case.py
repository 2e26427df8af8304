"""A worker crashes under a gang that saves checkpoints: do the members of the next run carry one and the same value?"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab_2"))
import lab as stand_ins  # noqa: E402

DOWN_S = 4.5
CONTACT_S = 3
MEMBERS = 4
WATCH_S = 25


async def main(lab):
    await lab.begin()
    if await lab.put_config(lab.make_config(7)) != 200 or not await lab.wait_ready():
        return 2
    await asyncio.sleep(CONTACT_S + 1)
    ident = await lab.submit([{"count": MEMBERS, "cpu": 7000, "memMb": 13000, "estimateMs": 6000, "gang": True, "checkpointing": True,
                               "antiAffinity": 1, "work_ms": 6000}])
    job = lab.jobs[ident]
    if job["accepted"] is None:
        return 2
    await asyncio.sleep(3)
    calm_from = lab.record.now()
    if stand_ins.TROUBLE:
        victim = next(worker for worker in lab.workers if worker.running)
        victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.boot()
        calm_from = lab.record.now() + CONTACT_S
    end = lab.record.now() + WATCH_S
    while lab.record.now() < end and (await lab.get(ident))[1] != "completed":
        await asyncio.sleep(0.5)
    status, state = await lab.get(ident)
    alone = [item for item in job["ends"] if item[2] == "alone" and item[0] > calm_from]
    lab.record("GET", ident, "->", status, state)
    for at, key, _, worker in alone:
        lab.record("GANG: run", key[1], "of", key[0], "ended `alone` at %.3f," % at, "with no impairment since %.3f" % (calm_from - CONTACT_S))
    print("state after %d s: %s; ends `alone` more than contactMs after the worker was back: %d; runs: %d" %
          (WATCH_S, state, len(alone), len({key[1] for _, key, _ in job["starts"]})))
    return 1 if alone else 0


stand_ins.run(main, FOLDER)
