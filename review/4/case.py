"""A check-in of another writer, with bytes in its id that can't be read, while jobs run: is accepted work still done?"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab_2"))
import lab as stand_ins  # noqa: E402

TRAFFIC_S = 25
FINISH_S = 14
LOST_S = 3  # "for 3 s, a job has nothing running ..."
FOREIGN_ID = b"i-7f\xe9\xff"


async def check_in_as_another_writer(lab, until):
    """One writer checks in every heartbeatMs, as PROTOCOL.md says: without a 2xx it calls the next node, once each."""
    sequence = 0
    while lab.record.now() < until:
        sequence += 1
        body = {"service": stand_ins.SERVICE, "addr": lab.ip(250) + ":9", "zone": lab.zones[0], "version": "v1", "slots": 8,
                "state": "draining", "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
                "labels": ["a", "r1-3"], "clockMs": 5000 + sequence * 1100, "seq": sequence, "remainingMs": 2000}
        for address in random.sample(lab.controls(), len(lab.controls())):
            for _ in range(3):
                path = b"/v1/Instances.Heartbeat/" + FOREIGN_ID
                status, _, headers = await stand_ins.call(address, "POST", path, body, timeout=1.0)
                if status != 307:
                    break
                address = headers["location"].split("/")[2]
            lab.record("check-in of the other writer at", address, "->", status)
            if 200 <= status < 300:
                break
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1000)


def find_lost(lab):
    """Accepted jobs with nothing running although a task's turn has come, while under half of the capacity is in use."""
    running = {key[0] for worker in lab.workers for key in worker.running}
    used = sum(run["cpu"] for worker in lab.workers for run in worker.running.values())
    if 2 * used >= sum(worker.cpu for worker in lab.workers):
        return {}
    lost = {}
    for ident, job in lab.jobs.items():
        if job["accepted"] is None or any(task.startswith(ident) for task in running):
            continue
        done = {key[0] for _, key, how, _ in job["ends"] if how == "done"}
        for number, step in enumerate(job["steps"]):
            tasks = ["%s.0.%d.%d" % (ident, number, index) for index in range(step["count"])]
            before = all("%s.0.%d.%d" % (ident, other, index) in done for other in step.get("dependsOn", [])
                         for index in range(job["steps"][other]["count"]))
            waiting = [task for task in tasks if task not in done]
            if before and waiting:
                lost[ident] = waiting
                break
    return lost


async def main(lab):
    await lab.begin()
    if await lab.put_config(lab.make_config(7)) != 200 or not await lab.wait_ready():
        return 2
    await asyncio.sleep(3)
    end = lab.record.now() + TRAFFIC_S
    other = asyncio.create_task(check_in_as_another_writer(lab, end)) if stand_ins.TROUBLE else None
    calls = []
    while lab.record.now() < end:
        steps = [{"count": 6, "cpu": 2000, "memMb": 1000, "estimateMs": 400, "work_ms": random.randint(200, 600)},
                 {"count": 6, "cpu": 2000, "memMb": 1000, "estimateMs": 400, "dependsOn": [0], "work_ms": random.randint(200, 600)}]
        calls.append(asyncio.create_task(lab.submit(steps, front=len(calls))))
        await asyncio.sleep(0.1)
    idents = [await item for item in calls]
    if other:
        await other
    await asyncio.sleep(FINISH_S)
    lab.record("finish_s after the end of the traffic")
    lost = find_lost(lab)
    for _ in range(10 * LOST_S):
        await asyncio.sleep(0.1)
        now = find_lost(lab)
        lost = {ident: tasks for ident, tasks in lost.items() if ident in now}
    unfinished = []
    for number, ident in enumerate(idents):
        if lab.jobs[ident]["accepted"] is not None:
            status, state = await lab.get(ident, front=number)
            if state != "completed":
                unfinished.append(ident)
                lab.record("job", ident, "GET ->", status, state)
    for ident, tasks in lost.items():
        lab.record("LOST: job", ident, "accepted at %.3f," % lab.jobs[ident]["accepted"], "nothing running, waiting:", *tasks)
    accepted = sum(1 for job in lab.jobs.values() if job["accepted"] is not None)
    print("accepted %d, not completed %d, nothing running though a task's turn has come %d" % (accepted, len(unfinished), len(lost)))
    if accepted < 100:
        return 2
    return 1 if lost else 0


stand_ins.run(main, FOLDER)
