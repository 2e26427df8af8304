"""A client leaves a front machine that stands still, and cancels its job elsewhere: does the job run nevertheless?"""
import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab_2"))
import lab as stand_ins  # noqa: E402

FREEZE_S = 3.5
CANCEL_MS = 3000
CONTACT_S = 3


async def main(lab):
    await lab.begin()
    if await lab.put_config(lab.make_config(7)) != 200 or not await lab.wait_ready():
        return 2
    await asyncio.sleep(CONTACT_S + 1)
    ident = "%016x" % random.getrandbits(64)
    steps = [{"count": 4, "cpu": 7000, "memMb": 13000, "estimateMs": 1700, "work_ms": 1700},
             {"count": 4, "cpu": 7000, "memMb": 13000, "estimateMs": 1700, "dependsOn": [0], "work_ms": 1700}]
    job = lab.jobs.setdefault(ident, {"steps": steps, "accepted": None, "starts": [], "ends": [], "acked": [], "answers": []})
    body = {"spec": "settle", "steps": [{key: value for key, value in step.items() if key != "work_ms"} for step in steps]}
    if stand_ins.TROUBLE:
        lab.signal(lab.fronts[0], signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, lab.signal, lab.fronts[0], signal.SIGCONT)
    await asyncio.sleep(0.1)
    # The client's first attempt: it leaves after half a second, and closes its channel.
    headers = {"Host": stand_ins.HOST, "Deadline-Ms": "3000"}
    status, _, _ = await stand_ins.call(lab.front(0), "POST", stand_ins.PREFIX + ident, body, headers, timeout=0.5)
    lab.record("POST", ident, "at", lab.front(0), "->", status or "no answer; the client leaves")
    # It wants the job no more, and cancels it at another node until it has a 2xx or a 410.
    cancelled = await lab.cancel(ident, front=1)
    acked_at = lab.record.now()
    if cancelled != 410 and not 200 <= cancelled < 300:
        return 2
    await asyncio.sleep(12)
    late = [item for item in job["starts"] if item[0] > acked_at + CANCEL_MS / 1000]
    state = await lab.get(ident, front=1)
    lab.record("GET", ident, "->", *state)
    for at, key, worker in late:
        lab.record("UNASKED: task", key[0], "started %.3f s after the cancelling was acknowledged," % (at - acked_at), "on", worker)
    print("cancel answered %d; starts after it %d, of these later than cancel_ms %d; state at the end: %s" %
          (cancelled, sum(1 for item in job["starts"] if item[0] > acked_at), len(late), state))
    return 1 if late else 0


stand_ins.run(main, FOLDER, gateways=6)
