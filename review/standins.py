"""Stand-ins for the platform around a scheduler: clients, claim workers and discovery.

They follow PROTOCOL-copperspread.md and its edition for users. All of them listen on 127.0.0.1, on free
ports, and run in one asyncio event loop. Python's standard library is all that is needed.
"""
import asyncio
import json
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

# When a script is ended from outside, it still ends the processes that it started.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

# The stand-ins of a large fleet need some 2,000 descriptors: the process takes them from its own hard limit. The
# scheduler has its own limit, which Scheduler.start sets.
DESCRIPTORS = 4096
soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
if soft < DESCRIPTORS:
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


class Record:
    """What was sent, answered and run. Each entry is one line of record.txt."""

    def __init__(self):
        self.start = time.time()
        self.lines = []

    def now(self):
        return time.time() - self.start

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():9.3f} {kind} {text}".rstrip())

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


# HTTP/1.1 ---------------------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head. Returns (start line, headers, time of the first byte), or None at the end of stream."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.time()
    try:
        rest = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = (first + rest).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, began


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, body=b"", extra=""):
    reasons = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
               503: "Service Unavailable"}
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} {reasons[status]}\r\n{extra}{length}\r\n".encode() + body


async def listen(handler):
    """Starts a server on a free port. Returns (server, port)."""
    server = await asyncio.start_server(handler, HOST, 0, limit=1 << 20, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# Claim workers ----------------------------------------------------------------------------------------


class Worker:
    """A claim worker: runs jobs in order in its slots and tells the scheduler what becomes of them.

    It has one address for each scheduler, so that it knows who sent an attempt and where news go.
    """

    def __init__(self, platform, name, zone=0, kind=0, cell=0, slots=4, speed=1.0, size=1.0):
        self.platform, self.name, self.zone, self.kind, self.cell = platform, name, zone, kind, cell
        self.slots, self.speed, self.size = slots, speed, size
        self.phase, self.up_since_ms = "SERVING", 0
        self.ports = {}
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.jobs = {}
        self.news_connections = {}
        self.news_calls = asyncio.Semaphore(8)
        self.tells_start = True
        self.accept_delay = 0.0

    async def start(self):
        for scheduler in self.platform.schedulers:
            async def serve(reader, writer, scheduler=scheduler):
                await self.serve(scheduler, reader, writer)
            _, self.ports[scheduler.name] = await listen(serve)

    def entry(self, scheduler):
        zones, kinds = self.platform.settings["zones"], self.platform.settings["kinds"]
        return {"id": self.name, "host_port": f"{HOST}:{self.ports[scheduler.name]}",
                "locality": zones[self.zone], "flavor": kinds[self.kind], "cell": self.cell,
                "phase": self.phase, "size": self.size, "up_since_ms": self.up_since_ms}

    def report(self):
        return {"x0": max(0, self.slots - self.running), "queue": self.waiting,
                "inflight": self.running + self.waiting, "util": min(1.0, self.running / self.slots)}

    async def serve(self, scheduler, reader, writer):
        keepalive = self.platform.settings["permissions"]["keepalive_s"]
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), keepalive)
                if head is None:
                    return
                line, headers, began = head
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                if method == "POST":
                    reply = await self.take(scheduler, path, headers, body, began)
                elif method == "DELETE":
                    reply = self.give_up(scheduler, path)
                elif path == "/-/load" and self.platform.settings["permissions"]["probes"]:
                    reply = answer(200, json.dumps(self.report()).encode())
                else:
                    reply = answer(404)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def take(self, scheduler, path, headers, body, began):
        request = headers.get("x-request-id")
        if request is None:
            return answer(404)
        sent = self.platform.sent.get(request)
        self.platform.record.add("attempt", worker=self.name, scheduler=scheduler.name, id=request, path=path,
                                 began=f"{began - self.platform.record.start:.3f}", phase=self.phase,
                                 timeout=headers.get("x-timeout"))
        self.platform.attempts.append((began, self, scheduler, request))
        if sent is None or sent != (path, body):
            self.platform.record.add("unknown", worker=self.name, id=request)
            return answer(400)
        if self.accept_delay:
            await asyncio.sleep(self.accept_delay)
        cost = float(headers.get("x-cost", 100000)) / 1e6
        self.jobs[request] = asyncio.create_task(self.run(scheduler, request, cost / self.speed))
        return answer(202)

    def give_up(self, scheduler, path):
        request = path.rsplit("/", 1)[-1]
        self.platform.record.add("given-up", worker=self.name, scheduler=scheduler.name, id=request)
        job = self.jobs.pop(request, None)
        if job:
            job.cancel()
        return answer(200 if job else 404)

    async def run(self, scheduler, request, seconds):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.platform.record.add("runs", worker=self.name, id=request)
            if self.tells_start:
                asyncio.create_task(self.tell(scheduler, {"id": request, "state": "started"}))
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
            self.free.release()
        self.jobs.pop(request, None)
        result = self.platform.result(request)
        await self.tell(scheduler, {"id": request, "state": "done", "result": result, "load": self.report()})

    async def tell(self, scheduler, news):
        """Sends one call with news: until it gets an answer, ten times at most."""
        body = json.dumps({**news, "from": self.name}).encode()
        message = (f"POST /_jobs/news HTTP/1.1\r\nHost: scheduler\r\nContent-Type: application/json\r\n"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        idle = self.news_connections.setdefault(scheduler.name, [])
        async with self.news_calls:
            await self.call(scheduler, news, message, idle)

    async def call(self, scheduler, news, message, idle):
        for _ in range(10):
            writer = None
            try:
                reader, writer = idle.pop() if idle else await asyncio.open_connection(HOST, scheduler.port)
                writer.write(message)
                line, headers, _ = await asyncio.wait_for(read_head(reader), 5)
                await read_body(reader, headers)
                status = int(line.split(" ")[1])
                self.platform.news.append((time.time(), news["id"], news["state"], status))
                self.platform.record.add("news", worker=self.name, id=news["id"], state=news["state"],
                                         status=status)
                if headers.get("connection") == "close":
                    writer.close()
                else:
                    idle.append((reader, writer))
                return
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, TypeError, OSError):
                if writer:
                    writer.close()
                await asyncio.sleep(0.05)
        self.platform.record.add("news-lost", worker=self.name, id=news["id"], state=news["state"])


# Discovery --------------------------------------------------------------------------------------------


class Discovery:
    """Discovery: the list of claim workers, whole or as a watch. One address for each scheduler."""

    def __init__(self, platform):
        self.platform = platform
        self.revision = 1
        self.changed = asyncio.Condition()
        self.changes = []  # (revision, worker)
        self.ports = {}
        self.crowded = False
        self.wait_limit = 1.0

    async def start(self):
        for scheduler in self.platform.schedulers:
            async def serve(reader, writer, scheduler=scheduler):
                await self.serve(scheduler, reader, writer)
            _, self.ports[scheduler.name] = await listen(serve)

    def whole(self, scheduler):
        workers = [w for w in self.platform.workers if w.phase != "DELETED"]
        return {"revision": self.revision, "complete": True, "members": [w.entry(scheduler) for w in workers]}

    async def change(self, workers):
        async with self.changed:
            self.revision += 1
            self.changes += [(self.revision, worker) for worker in workers]
            names = ",".join(f"{worker.name}:{worker.phase}" for worker in workers)
            self.platform.record.add("list", revision=self.revision, changed=names)
            self.changed.notify_all()

    async def serve(self, scheduler, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                path = head[0].split(" ")[1]
                reply, note = await self.call(scheduler, path)
                self.platform.record.add("discovery", scheduler=scheduler.name, call=path, answer=note)
                writer.write(reply)
                await writer.drain()
                if note.startswith("whole") or note.startswith("changes"):
                    self.platform.told(scheduler, self.revision)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, scheduler, path):
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        if "from" in query:
            since = int(query["from"])
            end = time.time() + min(60000, int(query["hold_ms"])) / 1000
            async with self.changed:
                while self.revision <= since and time.time() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.time())
                    except asyncio.TimeoutError:
                        break
        if self.crowded:
            # The call waits in turn behind those of others, and fails when it has waited too long.
            await asyncio.sleep(self.wait_limit)
            return answer(503), "refused"
        if "from" not in query:
            return answer(200, json.dumps(self.whole(scheduler)).encode()), f"whole:{self.revision}"
        workers = {worker.name: worker for revision, worker in self.changes if revision > since}
        members = [worker.entry(scheduler) for worker in workers.values()]
        body = {"revision": self.revision, "complete": False, "members": members}
        return answer(200, json.dumps(body).encode()), f"changes:{self.revision}"


# Clients ----------------------------------------------------------------------------------------------


class Clients:
    """Clients of one scheduler. They keep connections, and open more when all are busy."""

    def __init__(self, platform, scheduler):
        self.platform, self.scheduler = platform, scheduler
        self.idle = []
        self.tasks = []
        self.piece = None  # the size of the pieces in which requests are written; None for one piece
        # For requests, clients hold at most a third of the descriptors.
        self.free = asyncio.Semaphore(platform.limits["sockets"] // 3)

    async def load(self, rate, until, make):
        """Sends `rate` requests a second, in a Poisson process, until the time `until`."""
        rng = self.platform.rng
        while time.time() < until:
            await asyncio.sleep(rng.expovariate(rate))
            self.tasks.append(asyncio.create_task(self.send(*make())))

    async def finish(self):
        await asyncio.gather(*self.tasks)

    async def send(self, *request, **fields):
        async with self.free:
            return await self.exchange(*request, **fields)

    async def exchange(self, name, timeout_s, cost_s, body=b"a claim", key=None, more=""):
        request = f"{self.platform.rng.getrandbits(64):016x}"
        path = f"/{name}/{self.platform.rng.getrandbits(32):08x}"
        self.platform.sent[request] = (path, body)
        key = f"Idempotency-Key: {key}\r\n" if key else ""
        message = (f"POST {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {request}\r\n"
                   f"X-Timeout: {int(timeout_s * 1000)}m\r\nX-Cost: {int(cost_s * 1e6)}\r\n{key}{more}"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        began = time.time()
        outcome = "unreachable"
        writer = None
        self.platform.record.add("request", scheduler=self.scheduler.name, id=request, path=path,
                                 timeout_ms=int(timeout_s * 1000))
        # A close by the scheduler may cross the request on a kept connection: it is sent once more, on a new
        # connection.
        for is_kept in ([True, False] if self.idle else [False]):
            try:
                if is_kept:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(HOST, self.scheduler.port)
                piece = self.piece or len(message)
                for start in range(0, len(message), piece):
                    writer.write(message[start:start + piece])
                    await asyncio.sleep(0)
                await writer.drain()
                began = time.time()  # a request's time counts from its last byte
                outcome = "no answer"
                head = await asyncio.wait_for(read_head(reader), timeout_s + 1.0)
                if head is None:
                    outcome = "closed"
                    writer.close()
                    continue
                line, headers, _ = head
                answer_body = await read_body(reader, headers)
                outcome = int(line.split(" ")[1])
                if headers.get("connection") == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
                if outcome == 200 and answer_body.decode() != self.platform.result(request):
                    outcome = "foreign"
                break
            except asyncio.TimeoutError:
                writer.close()
                break
            except asyncio.CancelledError:
                # The client leaves.
                if writer:
                    writer.close()
                self.platform.record.add("left", scheduler=self.scheduler.name, id=request)
                self.platform.left[request] = time.time()
                raise
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                if outcome == "no answer":
                    outcome = "closed"
                if writer:
                    writer.close()
        seconds = time.time() - began
        self.platform.record.add("answer", scheduler=self.scheduler.name, id=request, outcome=outcome,
                                 after=f"{seconds:.3f}")
        self.platform.answers.append((request, name, timeout_s, outcome, seconds, began))
        return outcome


# Schedulers and the platform --------------------------------------------------------------------------


class Scheduler:
    """One process of the scheduler, started by the `run` line of the deploy file."""

    def __init__(self, platform, index, zone=0):
        self.platform, self.index, self.zone = platform, index, zone
        self.name = f"n{index}"
        self.port = free_port()
        self.process = None
        self.told_revision = 0

    def write_config(self, known):
        limits = self.platform.limits
        config = {
            "name": self.name, "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.platform.discovery.ports[self.name]}",
            "seed": f"{self.platform.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": limits["memory_mb"], "sockets": limits["sockets"]},
            "known": known, "settings": {**self.platform.settings, "me": self.index, "zone": self.zone},
        }
        self.config = os.path.join(self.platform.folder, f"{self.name}.json")
        with open(self.config, "w") as file:
            json.dump(config, file)
        return config

    async def start(self):
        config = self.write_config(self.platform.discovery.whole(self))
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {**os.environ, "EDGE_NAME": self.name, "EDGE_LISTEN": config["listen"],
                       "EDGE_DISCOVERY": config["discovery"], "EDGE_CONFIG": self.config,
                       "TMPDIR": self.platform.folder}
        sockets = self.platform.limits["sockets"]
        self.log = open(os.path.join(self.platform.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)))
        self.platform.record.add("start", scheduler=self.name, pid=self.process.pid)
        end = time.time() + 30
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: scheduler\r\nConnection: close\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_head(reader), 2)
                writer.close()
                if " 200" in line:
                    self.platform.record.add("ready", scheduler=self.name)
                    return
            except (ConnectionError, asyncio.TimeoutError, TypeError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} is not ready after 30 s")

    def signal(self, number):
        self.platform.record.add("signal", scheduler=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_mb(self, field="VmHWM"):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith(field):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    lag = 0.0  # how late the stand-ins themselves were at most, in seconds

    async def watch_lag(self):
        while True:
            before = time.time()
            await asyncio.sleep(0.02)
            self.lag = max(self.lag, time.time() - before - 0.02)

    def __init__(self, settings, limits, schedulers, seed=1):
        self.settings, self.limits = settings, limits
        self.rng = random.Random(seed)
        self.record = Record()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.sent = {}
        self.attempts = []
        self.answers = []
        self.left = {}  # request: when its client left
        self.tellings = []
        self.news = []  # (time, request, state, status of the scheduler's answer)
        self.workers = []
        self.schedulers = [Scheduler(self, index) for index in range(schedulers)]
        self.discovery = Discovery(self)

    def result(self, request):
        return f"result of {request}"

    def told(self, scheduler, revision):
        self.tellings.append((time.time(), scheduler, revision))

    async def start(self):
        for worker in self.workers:
            await worker.start()
        await self.discovery.start()
        for scheduler in self.schedulers:
            await scheduler.start()

    def end(self):
        for scheduler in self.schedulers:
            scheduler.end()

    def logs(self):
        for scheduler in self.schedulers:
            with open(os.path.join(self.folder, f"{scheduler.name}.log")) as file:
                for line in file:
                    self.record.lines.append(f"log {scheduler.name} {line.rstrip()}")


def site_settings(name):
    """Settings like those of a small deployment, with the names of the wire and the figures of its site."""
    classes = {
        "arnhem-claims": [
            ("status", 0.12, 5.0, 2.0, "pure", "all", 0, 2.5),
            ("controle", 0.2, 7.5, 2.0, "pure", "all", 0, 1.75),
            ("indienen", 0.2, 7.5, 2.0, "token", "zone", 12.0, 2.0),
            ("uitbetaling", 0.2, 7.5, 6.0, "side_effect", "all", 0, 2.0)],
        "cairo-calc": [
            ("quote", 0.25, 7.5, 5.0, "pure", "all", 0, 2.0),
            ("save-plan", 0.8, 15.0, 5.0, "token", "all", 25.0, 2.0),
            ("full-schedule", 1.2, 25.0, 3.0, "token", "cell", 40.0, 2.5),
            ("restructure", 1.0, 25.0, 2.0, "token", "zone", 40.0, 2.5)],
        "taletid-dk": [
            ("balance", 0.4, 6.0, 3.0, "pure", "all", 0, 2.0),
            ("voucher", 0.25, 5.0, 8.0, "side_effect", "all", 0, 2.0),
            ("card-topup", 1.0, 25.0, 10.0, "side_effect", "all", 0, 2.0)],
    }[name]
    figures = {
        "arnhem-claims": dict(zones=["arnhem", "zwolle", "eindhoven"], kinds=["snel", "gewoon", "breed"],
                              discovery="pushed", weights="live", how="piggyback", grace=1.0, cold_from=0.12,
                              cold=23.0, fall_s=3.0, probes=True, second=True, connect=0.25, keepalive=5.0,
                              cap=4, cross=0.03, probe=0.0031, retry_after=False),
        "cairo-calc": dict(zones=["garden-city", "nasr-city"], kinds=["new-4c", "old-5c"],
                           discovery="on_request", weights="rough", how="pull", grace=0.5, cold_from=0.13,
                           cold=24.0, fall_s=3.0, probes=True, second=True, connect=0.15, keepalive=60.0,
                           cap=4, cross=0.029, probe=0.002, retry_after=True),
        "taletid-dk": dict(zones=["odense", "aarhus", "kbh-valby"], kinds=["new-3c", "old-3c"],
                           discovery="pushed", weights="nominal", how="piggyback", grace=0.75, cold_from=0.31,
                           cold=8.9, fall_s=2.0, probes=False, second=False, connect=0.25, keepalive=15.0,
                           cap=6, cross=0.03, probe=0.0, retry_after=False),
    }[name]
    f = figures
    return {
        "callers": {"marks_retry": False},
        "classes": [{"name": c[0], "aim_s": c[1], "deadline_s": c[2], "importance": c[3], "semantics": c[4],
                     "key_scope": c[5], "window_s": c[6] or 5.0, "late_worth": 0.0, "stream": False}
                    for c in classes],
        "discovery": f["discovery"], "family": "jobs",
        "family_info": {"class_kind": [-1] * len(classes), "class_priority": [0] * len(classes),
                        "class_stretch": [c[7] for c in classes], "progress_s": 0.0, "queue_order": "fifo",
                        "report_x0": "free slots", "report_x1": "free memory", "tells_start": True},
        "fleet_size": 1, "kinds": f["kinds"], "zones": f["zones"], "zone": 0, "me": 0,
        "load_info": {"columns": ["x0", "waiting", "cpu", "x1"], "how": f["how"]},
        "over_share_worth": 0.1,
        "penalties": {"cross_zone": f["cross"], "probe": f["probe"], "waste": 0.035, "late_fail": 0.05},
        "permissions": {"connect_timeout_s": f["connect"], "keepalive_s": f["keepalive"],
                        "max_retry_after_s": 2.0, "may_cancel": True, "may_tell": False, "open_cap": 20000,
                        "probes": f["probes"], "retry_after": f["retry_after"], "second_copies": f["second"],
                        "send_cap": f["cap"], "streams_per_conn": 1},
        "safety": {"answer_slack_s": 0.008, "ask_within_s": 10.0, "cold_from": f["cold_from"],
                   "cold_s": f["cold"], "drain_grace_s": f["grace"], "fall_multiple": 3.0,
                   "fall_s": f["fall_s"]},
        "tenants": [], "tick_s": 0.002, "tier": 0, "tiers": ["workers"], "weights": f["weights"],
        "worth_by": "work",
    }
