"""Stand-ins for the platform, claim workers and clients, for the cases of the second review.

Everything listens on 127.0.0.1 and follows PROTOCOL-copperspread.md. A scheduler is started with the `run` line of
deploy/balancer.toml, as a process of its own. Only the Python standard library is used.
"""
import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; nothing is known about the rule."""


def run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return line.split("=", 1)[1].strip().strip('"')
    raise CannotRun("no run line in the deploy file")


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to a file, one line each, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a Content-Length, a chunked body or no body. None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                body += piece[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def head_of(status, headers=(), length=0):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {length}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Discovery:
    """The agent with the list of claim workers."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.members = {}
        self.changed_at = {}
        self.changed = asyncio.Event()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, worker, phase="SERVING", up_since_ms=0):
        self.revision += 1
        self.members[worker.name] = {
            "id": worker.name, "host_port": worker.address, "locality": worker.zone, "flavor": worker.kind,
            "cell": worker.cell, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }
        self.changed_at[worker.name] = self.revision
        self.record(f"list {self.revision}: {worker.name} {phase}")
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self):
        members = [entry for entry in self.members.values() if entry["phase"] != "DELETED"]
        return {"revision": self.revision, "complete": True, "members": members}

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                while self.silent:
                    await asyncio.sleep(0.02)
                target = message[0].split(" ")[1]
                answer = self.full()
                if "?" in target:
                    query = dict(pair.split("=") for pair in target.split("?")[1].split("&"))
                    since, until = int(query["from"]), time.monotonic() + int(query["hold_ms"]) / 1000
                    while self.revision <= since and (left := until - time.monotonic()) > 0:
                        try:
                            await asyncio.wait_for(self.changed.wait(), left)
                        except asyncio.TimeoutError:
                            pass
                    names = [name for name, at in self.changed_at.items() if at > since]
                    members = [self.members[name] for name in names]
                    answer = {"revision": max(self.revision, since), "complete": False, "members": members}
                body = json.dumps(answer).encode()
                writer.write(head_of("200 OK", [("Content-Type", "application/json")], len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Worker:
    """A claim worker with some slots and a queue in order of arrival. `behave` may change how it answers."""

    def __init__(self, name, record, zone="a", kind="k", cell=0, slots=4, job_s=0.2, tells_start=True):
        self.name, self.record = name, record
        self.zone, self.kind, self.cell = zone, kind, cell
        self.slots, self.job_s, self.tells_start = slots, job_s, tells_start
        self.jobs = {}
        self.attempts = []      # (time, id, class) of each attempt whose last byte has come
        self.executions = []    # (time, id, class) of each job that has begun to run
        self.cancelled = []
        self.free = asyncio.Semaphore(slots)
        self.scheduler_of = {}
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def result_of(self, request_id):
        return f"result of {request_id} by {self.name}"

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message, reader, writer):
        line, headers, _ = message
        method, path, _ = line.split(" ")
        if method == "DELETE":
            request_id = path.rsplit("/", 1)[1]
            task = self.jobs.pop(request_id, None)
            self.record(f"{self.name} DELETE {request_id} {'known' if task else 'unknown'}")
            self.cancelled.append((self.record.now(), request_id))
            if task:
                task.cancel()
            writer.write(head_of("204 No Content"))
        elif method == "POST" and "x-request-id" in headers:
            request_id, kind = headers["x-request-id"], path.split("/")[1]
            self.attempts.append((self.record.now(), request_id, kind))
            self.record(f"{self.name} attempt {request_id} {kind} timeout={headers.get('x-timeout')}")
            await self.take(request_id, kind, headers, reader, writer)
        elif path in ("/-/healthy", "/-/load"):
            writer.write(head_of("200 OK"))
        else:
            writer.write(head_of("404 Not Found"))
        await writer.drain()

    async def take(self, request_id, kind, headers, reader, writer):
        writer.write(head_of("202 Accepted"))
        self.begin(request_id, kind)

    def begin(self, request_id, kind):
        task = asyncio.ensure_future(self.run(request_id, kind))
        self.jobs[request_id] = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, request_id, kind):
        async with self.free:
            self.executions.append((self.record.now(), request_id, kind))
            self.record(f"{self.name} runs {request_id} {kind}")
            if self.tells_start:
                asyncio.ensure_future(self.tell({"id": request_id, "from": self.name, "state": "started"}))
            await asyncio.sleep(self.job_time())
        self.jobs.pop(request_id, None)
        await self.tell({"id": request_id, "from": self.name, "state": "done", "result": self.result_of(request_id),
                         "load": self.load()})

    def job_time(self):
        return self.job_s

    def load(self):
        busy = len(self.jobs)
        return {"x0": max(0, self.slots - busy), "waiting": max(0, busy - self.slots),
                "cpu": min(1.0, busy / self.slots), "x1": max(0, self.slots - busy)}

    async def tell(self, news):
        body = json.dumps(news).encode()
        host, port = self.callback_to.split(":")
        for _ in range(10):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                answer = await asyncio.wait_for(read_message(reader), 5)
                writer.close()
                if answer:
                    self.record(f"{self.name} tells {news['id']} {news['state']}: {answer[0]}")
                    return answer
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        self.record(f"{self.name} could not tell {news['id']} {news['state']}")


def request_bytes(kind, request_id=None, timeout_ms=5000, cost_us=200_000, body=b"a claim", key=None, extra=()):
    request_id = request_id or secrets.token_hex(8)
    lines = [f"POST /{kind}/{secrets.token_hex(8)} HTTP/1.1", "Host: service.internal", f"X-Request-ID: {request_id}",
             f"X-Timeout: {timeout_ms}m", f"X-Cost: {cost_us}", f"Content-Length: {len(body)}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    lines.extend(extra)
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


CLASSES = {
    "status": {"aim_s": 0.12, "deadline_s": 5.0, "importance": 2.0, "semantics": "pure", "stretch": 2.5},
    "controle": {"aim_s": 0.2, "deadline_s": 7.5, "importance": 2.0, "semantics": "pure", "stretch": 1.75},
    "indienen": {"aim_s": 0.2, "deadline_s": 7.5, "importance": 2.0, "semantics": "token", "key_scope": "zone",
                 "window_s": 12.0, "stretch": 2.0},
    "uitbetaling": {"aim_s": 0.2, "deadline_s": 7.5, "importance": 6.0, "semantics": "side_effect", "stretch": 2.0},
}


def settings(classes=None, zones=("a",), kinds=("k",), fleet_size=1, discovery="pushed", probes=True, **permissions):
    """The settings of the deployment arnhem-claims, with the names that WIRE-copperspread.md gives them."""
    chosen = classes or CLASSES
    listed = [{"key_scope": "all", "late_worth": 0.0, "stream": False, "window_s": 5.0, "name": name,
               **{key: value for key, value in entry.items() if key != "stretch"}} for name, entry in chosen.items()]
    return {
        "callers": {"marks_retry": False}, "classes": listed, "discovery": discovery, "family": "jobs",
        "family_info": {"class_kind": [-1] * len(listed), "class_priority": [0] * len(listed),
                        "class_stretch": [entry["stretch"] for entry in chosen.values()], "progress_s": 0.0,
                        "queue_order": "fifo", "report_x0": "free slots", "report_x1": "free memory",
                        "tells_start": True},
        "fleet_size": fleet_size, "kinds": list(kinds), "load_info": {"columns": ["x0", "waiting", "cpu", "x1"],
                                                                  "how": "piggyback"},
        "me": 0, "over_share_worth": 0.1,
        "penalties": {"cross_zone": 0.03, "handshake": 0.02, "late_fail": 0.05, "probe": 0.0031, "waste": 0.035},
        "permissions": {"connect_timeout_s": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
                        "keepalive_s": 5.0, "max_retry_after_s": 2.0, "may_cancel": True, "may_tell": False,
                        "open_cap": 20000, "probes": probes, "retry_after": False, "second_copies": True, "send_cap": 4,
                        "streams_per_conn": 1, **permissions},
        "safety": {"answer_slack_s": 0.008, "ask_within_s": 10.0, "cold_from": 0.12, "cold_s": 23.0,
                   "drain_grace_s": 1.0, "fall_multiple": 3.0, "fall_s": 3.0},
        "tenants": [], "tick_s": 0.002, "tier": 0, "tiers": ["workers"], "weights": "silent", "worth_by": "work",
        "zone": 0, "zones": list(zones),
    }


class Scheduler:
    """One scheduler, started as the platform does."""

    def __init__(self, record, discovery, config, folder, name="n0", port=None, memory_mb=192, sockets=1024):
        self.record, self.name, self.folder = record, name, folder
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.discovery, self.settings = discovery, config
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.known = {"revision": 0, "complete": True, "members": []}
        self.process = None

    def write_config(self, discovery_address=None):
        self.prepare_config(discovery_address)
        self.put_config()

    def prepare_config(self, discovery_address=None):
        self.config_path = os.path.join(self.folder, f"{self.name}.json")
        self.discovery_address = discovery_address or self.discovery.address
        config = {"name": self.name, "listen": self.address, "discovery": self.discovery_address,
                  "seed": secrets.token_hex(8), "limits": self.limits, "known": self.known, "settings": self.settings}
        with open(self.config_path + ".new", "w") as file:
            json.dump(config, file)

    def put_config(self):
        os.replace(self.config_path + ".new", self.config_path)

    def environment(self):
        """Writes the configuration, and returns the environment of the process."""
        if not os.path.exists(os.path.join(ROOT, "target/release/copperspread-scheduler")):
            raise CannotRun("the scheduler is not built")
        self.write_config()
        return {"PATH": os.environ.get("PATH", ""), "TMPDIR": tempfile.mkdtemp(dir=self.folder),
                "EDGE_NAME": self.name, "EDGE_LISTEN": self.address, "EDGE_DISCOVERY": self.discovery_address,
                "EDGE_CONFIG": self.config_path}

    async def start(self):
        environment = self.environment()
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_line(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.record(f"scheduler {self.name} started, listens on {self.address}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun("the scheduler ended at its start")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer and " 200 " in answer[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the scheduler is not ready after 30 s")

    def signal(self, number):
        self.record(f"signal {number} to scheduler {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def send_request(port, data):
    """Sends one request on a new connection and returns the status and the body, or None without a whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        message = await read_message(reader)
        return message and (int(message[0].split(" ")[1]), message[2])
    except ConnectionError:
        return None
    finally:
        writer.close()


def play(case_folder, case):
    """Plays a case, which is a coroutine function that takes the record and a temporary folder and returns what
    broke the rule, as a list of texts. Exits as the issue says."""
    record = Record(os.path.join(case_folder, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    started = []
    code = 2
    try:
        async def limited():
            try:
                return await asyncio.wait_for(case(record, folder, started), 110)
            finally:
                for scheduler in started:
                    await scheduler.end()
        broken = asyncio.run(limited())
        for text in broken:
            record(f"BROKEN {text}")
            print(f"BROKEN {text}")
        code = 1 if broken else 0
        print(f"TROUBLE={int(TROUBLE)}: the rule {'was broken' if broken else 'held'}")
    except CannotRun as error:
        record(f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception as error:  # also a mistake of the script: it says nothing about the rule
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        for name in os.listdir(folder):
            if name.endswith(".log"):
                with open(os.path.join(folder, name), errors="replace") as log:
                    for line in log:
                        record(f"log of {name[:-4]}: {line.rstrip()}")
        shutil.rmtree(folder, ignore_errors=True)
        record(f"exit {code}")
    sys.exit(code)
