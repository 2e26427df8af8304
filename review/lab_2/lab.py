"""Stand-ins for the scripts of this review: platform, workers, clients and operator, on loopback addresses.

Only Python's standard library is used. The stand-ins do what PROTOCOL.md says, and behave like sound ones where it is
silent. All that was sent, answered and run is written to record.txt beside the script.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"holdMaxMs": 10000, "stopMs": 900, "status_s": 120, "gangTimeoutMs": 3000, "checkpointMs": 1000, "restoreMs": 600}  # as on the sheet of hanbit-ring
HEARTBEAT_MS = 1100
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"


class Record:
    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.begun, " ".join(str(word) for word in words)))
        self.file.flush()

    def now(self):
        return time.monotonic() - self.begun


def render(text, fields):
    """Fills in a template of the deploy folder, as DEPLOY.md says."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        return value

    def show(match):
        value = find(match.group(1))
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(str(item) for item in value) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m.group(2) if find(m.group(1)) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", show, text)


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One HTTP call on a channel of its own. Returns (status, body, headers), or (0, reason, {}) without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            target = path if isinstance(path, bytes) else path.encode()
            lines = [method.encode() + b" " + target + b" HTTP/1.1"]
            names = {"Host": address, "Content-Type": "application/json", "Content-Length": str(len(data)), "Connection": "close"}
            names.update(headers or {})
            lines += [("%s: %s" % item).encode() for item in names.items()]
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + data)
            await writer.drain()
            status, found, payload = await read_message(reader)
            return int(status.split()[1]), payload, found
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return 0, type(error).__name__, {}
    finally:
        if writer is not None:
            writer.close()


async def read_message(reader):
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


class Worker:
    """One worker: it starts, holds and stops runs, keeps fences and leases, and checks in."""

    def __init__(self, lab, number, zone):
        self.lab = lab
        self.zone = zone
        self.rack = "r1-%d" % (number // 8)
        self.id = "i-%08x" % random.getrandbits(32)
        self.host = "127.%d.%d.%d" % (lab.net[0], lab.net[1], 100 + number)
        self.cpu, self.memory = 64000, 256000
        self.origin = time.monotonic() - 100
        self.fence = 0
        self.until = 0
        self.running = {}  # (task, run) -> dict
        self.ended = []
        self.numbers = 0
        self.closed = {}  # task -> highest run that was stopped or has ended here
        self.changed = asyncio.Event()
        self.acked = 0
        self.sequence = 0
        self.beat_address = None
        self.kind = "a"
        self.born = None  # Unix time in ms; told where the lab's workers tell it
        self.is_silent = False  # lost for good: its peers get no answer and no reset
        self.port = 0
        self.server = None
        self.tasks = []
        self.writers = set()

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.host, self.server.sockets[0].getsockname()[1])
        if self.lab.tells_born:
            self.born = int(time.time() * 1000)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.expire())]

    def close(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def vanish(self):
        """The worker is lost for good, with all that it runs. Nothing comes from it any more."""
        self.lab.record("worker", self.id, "is lost for good, running:", *["%s run %d" % key for key in self.running])
        self.is_silent = True
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            if run["timer"]:
                run["timer"].cancel()
        self.running = {}

    def crash(self):
        """The worker's process ends with all that it runs. Its next boot has a new id, and knows nothing."""
        self.lab.record("worker", self.id, "crashes, running:", *["%s run %d" % key for key in self.running])
        self.close()
        lost = self.running
        for run in lost.values():
            if run["timer"]:
                run["timer"].cancel()
        self.running, self.ended, self.closed = {}, [], {}
        for key in lost:
            self.lab.gangs.leave(key, "lost")
        self.numbers = self.acked = self.fence = self.until = self.sequence = 0
        self.beat_address = None
        self.id = "i-%08x" % random.getrandbits(32)

    async def boot(self):
        self.origin = time.monotonic()
        await self.begin()
        self.lab.record("worker", self.id, "is up at", self.address)

    async def beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def check_in(self):
        self.sequence += 1
        body = {"service": SERVICE, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0}, "labels": [self.kind, self.rack],
                "clockMs": self.clock(), "seq": self.sequence}
        if self.born:
            body["born"] = self.born
        addresses = random.sample(self.lab.controls(), len(self.lab.controls()))
        if self.beat_address:
            addresses.insert(0, self.beat_address)
        for address in addresses:
            for _ in range(3):
                status, payload, headers = await call(address, "POST", "/v1/Instances.Heartbeat/" + self.id, body, timeout=1.0)
                if status != 307:
                    break
                address = headers["location"].split("/")[2]
            if 200 <= status < 300:
                self.beat_address = json.loads(payload or b"{}").get("heartbeatAddr") or None
                return
            self.beat_address = None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.until:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        if run["timer"]:
            run["timer"].cancel()
        self.numbers += 1
        self.ended.append([self.numbers, key[0], key[1], how, self.lab.gangs.get_saved(key, how)])
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        self.lab.on_end(self, key, how)
        self.changed.set()
        self.lab.gangs.leave(key, how)

    def extend(self, body):
        self.until = max(self.until, min(int(body.get("untilMs", 0)), self.clock() + BOUNDS["holdMaxMs"]))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, payload = await read_message(reader)
                if not self.is_silent:
                    status, answer = await self.handle(first.split()[0], first.split()[1], headers, payload)
                if self.is_silent:
                    await asyncio.sleep(1000)
                data = json.dumps(answer).encode() if answer is not None else b""
                writer.write(("HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data))).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError, asyncio.CancelledError, RuntimeError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, payload):
        if headers.get("expect-instance") not in (None, self.id):
            return 421, {"clockMs": self.clock()}
        if method == "GET":
            return 200, {}
        body = json.loads(payload)
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = max(self.fence, body.get("fence", 0))
        if path == "/v1/hold":
            return await self.hold(body)
        key = (body["task"], body["run"])
        if path == "/v1/run-start":
            return self.start(key, body)
        if path == "/v1/run-stop":
            self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
            if key in self.running and not self.running[key]["stopping"]:
                self.running[key]["stopping"] = True
                asyncio.get_running_loop().call_later(0.1, self.end, key, "stopped")
        return 200, {"clockMs": self.clock()}

    def start(self, key, body):
        self.extend(body)
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if key[1] <= self.closed.get(key[0], 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body.get("untilMs", 0) <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        need = self.lab.need(key[0])
        if sum(run["cpu"] for run in self.running.values()) + need["cpu"] > self.cpu:
            return 409, {"clockMs": self.clock(), "reason": "room"}
        took = need["work_ms"]
        is_member = need.get("gang", False)
        timer = asyncio.get_running_loop().call_later(took / 1000, self.end, key, "done") if took and not is_member else None
        self.running[key] = {"timer": timer, "begun": time.monotonic(), "cpu": need["cpu"], "took": took, "stopping": False}
        self.lab.on_start(self, key, body)
        if is_member:
            self.lab.gangs.join(self, key, need, body.get("checkpoint", ""))
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body)
        told = body.get("ackedUpto", 0)
        if told > self.acked:
            self.acked = told
            self.lab.on_acked(self, [row for row in self.ended if row[0] <= told])
        self.ended = [row for row in self.ended if row[0] > told]
        wait = min(int(body.get("waitMs", 0)), 2000)
        if wait and not self.ended:
            self.changed = asyncio.Event()
            try:
                await asyncio.wait_for(self.changed.wait(), wait / 1000)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        rows = []
        for (task, run), state in self.running.items():
            part = (time.monotonic() - state["begun"]) * 1000 / state["took"] if state["took"] else 1
            rows.append([task, run, self.lab.gangs.get_saved((task, run), ""), int(min(part, 0.99 if state["took"] else 1) * 100), 0])
        answer = {"clockMs": self.clock(), "running": rows, "ended": self.ended[:500]}
        return 200, answer | ({"born": self.born} if self.born else {})


class Gangs:
    """Runs of gangs. The members work from the moment when all are present with one and the same checkpoint.

    All members of a run save the same values, one with each checkpointS of work. PROTOCOL.md says that all must carry the
    same value; a run whose members carry different ones doesn't begin, and ends `alone` after gangTimeoutMs.
    """

    def __init__(self, lab):
        self.lab = lab
        self.runs = {}  # (ID.K.STEP, run) -> dict

    @staticmethod
    def name(key):
        return key[0].rsplit(".", 1)[0], key[1]

    def join(self, worker, key, need, checkpoint):
        run = self.runs.setdefault(self.name(key), {"members": {}, "begun": None, "from_ms": 0, "work_ms": need["work_ms"]})
        loop = asyncio.get_running_loop()
        run["members"][key] = (worker, checkpoint, loop.call_later(BOUNDS["gangTimeoutMs"] / 1000, self.wait_ended, key))
        self.lab.record("member", key[0], key[1], "carries the checkpoint", checkpoint or "(none)")
        if len(run["members"]) == need["count"] and len({item[1] for item in run["members"].values()}) == 1:
            run["from_ms"] = int(checkpoint[:8], 16) if checkpoint else 0
            run["begun"] = time.monotonic() + (BOUNDS["restoreMs"] / 1000 if checkpoint else 0)
            self.lab.record("gang", *self.name(key), "begins to work at", run["from_ms"], "ms")
            left = (run["work_ms"] - run["from_ms"]) / 1000 + run["begun"] - time.monotonic()
            loop.call_later(left, self.finish, self.name(key))

    def wait_ended(self, key):
        run = self.runs.get(self.name(key))
        if run and key in run["members"] and run["begun"] is None:
            run["members"][key][0].end(key, "alone")

    def finish(self, name):
        run = self.runs.get(name)
        if run and not run.get("broken"):
            run["broken"] = True  # nothing more happens to it
            for key, (worker, _, _) in list(run["members"].items()):
                worker.end(key, "done")

    def leave(self, key, how):
        run = self.runs.get(self.name(key))
        if run is None or run["members"].pop(key, None) is None or run["begun"] is None or run.get("broken"):
            return
        run["broken"] = True
        run["ended"] = time.monotonic()
        for other, (worker, _, _) in list(run["members"].items()):
            worker.end(other, "broken")

    def get_saved(self, key, how):
        run = self.runs.get(self.name(key))
        if run is None or run["begun"] is None or how == "done":
            return ""
        worked = max(run.get("ended", time.monotonic()) - run["begun"], 0) * 1000 + run["from_ms"]
        saved = int(worked // BOUNDS["checkpointMs"]) * BOUNDS["checkpointMs"]
        return "%08x%s" % (saved, self.name(key)[0][:8]) if saved else ""


class Lab:
    """A small deployment: five schedulers, gateways, workers; and the clients' view of it."""

    def __init__(self, folder, gateways=2, workers=12, tells_born=False, zones=("gimje-hall", "naju-hall", "iksan-hall")):
        self.folder = folder
        self.tells_born = tells_born
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="poplarpitch-review-")
        self.net = (random.randint(20, 220), random.randint(1, 250))
        self.zones = zones
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.processes = {}
        self.ports = self.reserve_ports(5)
        self.cores = [self.ip(10 + number) for number in range(5)]
        self.fronts = [self.ip(30 + number) for number in range(gateways)]
        self.workers = [Worker(self, number, zones[number % len(zones)]) for number in range(workers)]
        self.jobs = {}  # id -> dict
        self.gangs = Gangs(self)

    def ip(self, last):
        return "127.%d.%d.%d" % (self.net[0], self.net[1], last)

    @staticmethod
    def reserve_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind(("0.0.0.0", 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def controls(self):
        return ["%s:%d" % (ip, self.ports[1]) for ip in self.cores]

    def front(self, number):
        return "%s:%d" % (self.fronts[number % len(self.fronts)], self.ports[2])

    def fields(self, ip, number, is_core, bootstrap):
        folder = os.path.join(self.work, "data-%s" % ip)
        os.makedirs(folder, exist_ok=True)
        listen = {"control": "%s:%d" % (ip, self.ports[1])} if is_core else {
            "front": "%s:%d" % (ip, self.ports[2]), "ready": "%s:%d" % (ip, self.ports[3])}
        return {"node": "%s-%d" % ("core" if is_core else "front", number), "zone": self.zones[number % len(self.zones)], "ip": ip,
                "portRange": [self.ports[0], self.ports[0] + 1], "seeds": self.controls()[:3], "bootstrap": bootstrap,
                "listen": listen, "dataDir": folder, "heartbeatMs": HEARTBEAT_MS, "bounds": BOUNDS, "limits": {"maxFds": 4096},
                "faultTolerance": {"machines": 2}}

    def spawn(self, ip, bootstrap=False):
        is_core = ip in self.cores
        number = (self.cores if is_core else self.fronts).index(ip)
        role = self.deploy["roles"]["scheduler" if is_core else "entry"]
        path = os.path.join(self.work, "%s.ini" % ip)
        text = render(open(os.path.join(ROOT, role["template"]), encoding="utf-8").read(), self.fields(ip, number, is_core, bootstrap))
        text = text.replace("metrics_port = 9464", "metrics_port = %d" % self.ports[4])
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [path if word == "/etc/poplarpitch/settings.toml" else word for word in role["run"].split()]
        log = open(os.path.join(self.work, "%s.log" % ip), "ab")
        self.processes[ip] = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record("process", ip, "started, pid", self.processes[ip].pid)

    def signal(self, ip, number):
        self.record("process", ip, "gets", signal.Signals(number).name)
        self.processes[ip].send_signal(number)

    async def begin(self):
        for worker in self.workers:
            await worker.begin()
        for ip in self.cores + self.fronts:
            self.spawn(ip, bootstrap=True)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    # ---- operator

    def make_config(self, version, routes=((PREFIX, 0, 3),)):
        return {"version": version, "routes": [
            {"name": "r-%s" % prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
             "targetLatencyMs": 250, "priority": priority, "service": SERVICE, "maxAttempts": attempts, "stretch": 2.0}
            for prefix, priority, attempts in routes],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforcesCapacity": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def control(self, method, path, body=None, limit=20.0, headers=None, what=None):
        """A call of the operator: it moves on to another node after a failure, and follows 307."""
        end = time.monotonic() + limit
        pause = 0.1
        while True:
            for address in random.sample(self.controls(), len(self.controls())):
                for _ in range(3):
                    status, payload, found = await call(address, method, path, body, headers, timeout=1.0)
                    if status != 307:
                        break
                    address = found["location"].split("/")[2]
                if what:
                    self.record(what, "at", address, "->", status, payload[:120])
                if 200 <= status < 300 or 400 <= status < 500 and status not in (408, 429):
                    return status, payload
                if time.monotonic() > end:
                    return status, payload
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)

    async def put_config(self, config, limit=20.0):
        status, payload = await self.control("POST", "/v1/Config.Put", config, limit, what="Config.Put %s" % config["version"])
        return status

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [(await call("%s:%d" % (ip, self.ports[3]), "GET", "/v1/ready", timeout=1.0))[0] for ip in self.fronts]
            if all(state == 200 for state in states):
                return True
            await asyncio.sleep(0.2)
        return False

    # ---- clients

    async def submit(self, steps, front=0, spec="work", ident=None, prefix=PREFIX, tries=5):
        """Hands a job in, as PROTOCOL.md says: after no answer, 502 or 504 the same request goes to another node."""
        ident = ident or "%016x" % random.getrandbits(64)
        job = self.jobs.setdefault(ident, {"steps": steps, "spec": spec, "prefix": prefix, "accepted": None, "starts": [], "ends": [],
                                           "acked": [], "state": None, "answers": []})
        body = {"spec": spec, "steps": [{key: value for key, value in step.items() if key != "work_ms"} for step in steps]}
        for attempt in range(tries):
            status, _, _ = await call(self.front(front + attempt), "POST", prefix + ident, body, {"Host": HOST, "Deadline-Ms": "3000"})
            job["answers"].append(status)
            self.record("POST", ident, "->", status)
            if 200 <= status < 300:
                job["accepted"] = self.record.now()
                break
            if status not in (0, 502, 504):
                break
        return ident

    async def get(self, ident, front=0, prefix=PREFIX):
        status, payload, _ = await call(self.front(front), "GET", prefix + ident, None, {"Host": HOST, "Deadline-Ms": "3000"})
        state = json.loads(payload).get("state") if status == 200 else None
        if ident in self.jobs:
            self.jobs[ident]["state"] = state or status
        return status, state

    async def cancel(self, ident, front=0, prefix=PREFIX):
        status, _, _ = await call(self.front(front), "DELETE", prefix + ident, None, {"Host": HOST, "Deadline-Ms": "3000"})
        self.record("DELETE", ident, "->", status)
        return status

    # ---- what workers see

    def need(self, task):
        ident, _, step, _ = task.split(".")
        found = self.jobs.get(ident)
        return {"cpu": 1000, "work_ms": 500} if found is None else found["steps"][int(step)]

    def on_start(self, worker, key, body):
        self.record("start", key[0], key[1], "on", worker.id, "spec", body.get("spec", "")[:20])
        ident = key[0].split(".")[0]
        if ident in self.jobs:
            self.jobs[ident]["starts"].append((self.record.now(), key, worker.id))

    def on_end(self, worker, key, how):
        self.record("end", key[0], key[1], how, "on", worker.id)
        ident = key[0].split(".")[0]
        if ident in self.jobs:
            self.jobs[ident]["ends"].append((self.record.now(), key, how, worker.id))

    def on_acked(self, worker, rows):
        for row in rows:
            self.record("acked", row[1], row[2], row[3], "on", worker.id)
            ident = row[1].split(".")[0]
            if ident in self.jobs:
                self.jobs[ident]["acked"].append((self.record.now(), (row[1], row[2]), row[3]))


def run(main, folder, **settings):
    """Runs a case. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run."""
    lab = Lab(folder, **settings)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended all the same

    async def play():
        try:
            return await asyncio.wait_for(main(lab), 110)
        finally:
            for worker in lab.workers:
                worker.close()
            await asyncio.sleep(0.05)

    try:
        code = asyncio.run(play())
    except Exception as error:  # pylint: disable=broad-except
        lab.record("the case could not run:", repr(error))
        print("the case could not run:", repr(error))
    finally:
        lab.end()
    lab.record("exit code", code)
    sys.exit(code)
