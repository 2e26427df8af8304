"""A config with a version below zero is sent: does a later, valid change that is acknowledged come into force?"""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab_2"))
import lab as stand_ins  # noqa: E402

CONFIG_APPLY_S = 2
CONTACT_S = 3
NEW_PREFIX = "/volo102/"


async def main(lab):
    await lab.begin()
    if await lab.put_config(lab.make_config(7)) != 200 or not await lab.wait_ready():
        return 2
    await asyncio.sleep(CONTACT_S + 1)
    if stand_ins.TROUBLE:
        status = await lab.put_config(lab.make_config(-1))
        lab.record("the config with version -1 is answered", status)
    # The next change of the operator: it adds a route.
    status = await lab.put_config(lab.make_config(12, ((stand_ins.PREFIX, 0, 3), (NEW_PREFIX, 2, 4))))
    if status != 200:
        return 2
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    steps = [{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 200, "work_ms": 200}]
    answers = []
    for number in range(6):
        ident = await lab.submit(steps, front=number, prefix=NEW_PREFIX)
        answers.append(lab.jobs[ident]["answers"][-1])
        await asyncio.sleep(0.5)
    _, payload = await lab.control("GET", "/v1/Config.Get", what="Config.Get")
    version = json.loads(payload)["version"]
    refused = answers.count(404)
    lab.record("version 12 was acknowledged; read back:", version, "; answers on the route that it adds:", *answers)
    if refused:
        lab.record("CONFIG: refused with 404 though the route is there:", refused, "of", len(answers))
    if version != 12:
        lab.record("CONFIG: read back, the config isn't the newest acknowledged version")
    print("read back: version %s; answers on the new route: %s" % (version, answers))
    return 1 if refused or version != 12 else 0


stand_ins.run(main, FOLDER)
