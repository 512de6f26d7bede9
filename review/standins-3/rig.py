"""Stand-ins for the platform's store, instances and clients, and the start of the daemons, for review/11 to 15.

All stand-ins run in one process on loopback addresses and free ports. They do what the users' pages say and nothing
else; a case changes them only by the disruption that it names. The daemons are started with the command of
deploy/system.toml and a settings file made from deploy/parsleyyardd.ini.tmpl's fields.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = ("seed-lag-s=3,reuse-after-s=2,contact-ms=3000,ack-ms=4000,catch-up-s=4,drain-ms=2000,grace-s=6,"
          "loss-slack-ms=200,config-apply-ms=2000,rollback-slack-ms=250,max-stretch-ms=5000,budget-ratio=0.2,"
          "budget-window-s=10,budget-slack=60,warmup-factor=1.5,warmup-slack=5,evac-ms=5000,recover-s=15")
KEEP_ALIVE_S = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns the first line and the fields, in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return body
            body += (await reader.readexactly(size + 2))[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: kv-key, kv-range and kv-watch. `silent` until `silent_until`: no call is answered."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 100
        self.changed = asyncio.Event()
        self.silent_until = 0.0
        self.calls = 0

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision, "created": created,
                "lease": 1 if key.startswith("servers/") else 0}
        self.items[key] = item
        self.add_event(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event({"key": key, "rev": self.revision, "removed": True})

    def add_event(self, event):
        self.history.append((now(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def is_silent(self):
        return now() < self.silent_until

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                self.calls += 1
                await read_body(reader, head[1])
                path, _, query = head[0].split(" ")[1].partition("?")
                args = dict(part.partition("=")[::2] for part in query.split("&") if part)
                args = {k: urllib.parse.unquote(v) for k, v in args.items()}
                if self.is_silent():
                    # No answer; nothing further comes on this connection.
                    await asyncio.sleep(max(0.0, self.silent_until - now()))
                    return
                status, body = await self.answer(path, args)
                if self.is_silent():
                    await asyncio.sleep(max(0.0, self.silent_until - now()))
                    return
                await asyncio.sleep(0.004)
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has closed the connection, or the case ends
        finally:
            writer.close()

    async def answer(self, path, args):
        prefix = args.get("prefix", "")
        if path == "/api/kv-key":
            item = self.items.get(args.get("key"))
            return (200, item) if item else (404, {})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:50]], "has-more": len(keys) > 50,
                         "as-of": self.revision}
        if path == "/api/kv-watch":
            after, until = int(args["after"]), now() + int(args["wait-ms"]) / 1000
            while True:
                events = [e for _, e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
                left = until - now()
                if events or left <= 0 or self.is_silent():
                    return 200, {"events": events, "as-of": self.revision}
                try:
                    await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Instance:
    """An instance: slots, a short queue, the health path, a registration with heartbeats, and leaving.

    `extra_share`: the share of its answers after which a second copy is sent late, at the point where the next
    response on that connection is expected. `spoil(kind, attempt)` may return bytes to send in place of an answer.
    """

    def __init__(self, store, record, ident, service, zone, address, port, slots=12, work_s=0.11, queue=48,
                 warmup_left_ms=0):
        self.store, self.record, self.id, self.service, self.zone = store, record, ident, service, zone
        self.address, self.port, self.slots, self.work_s, self.queue = address, port, slots, work_s, queue
        self.state, self.leaving, self.sequence, self.born = "ready", False, 0, int(time.time() * 1000)
        self.warmup_left_ms = warmup_left_ms
        self.extra_share, self.spoil = 0.0, None
        self.running, self.waiting = 0, collections.deque()
        self.random = random.Random(ident)
        self.health_checks = 0
        self.reported, self.accepted_at, self.gone = None, None, False
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=1 << 20)
        self.report()
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while not self.gone:
            await asyncio.sleep(1.5)
            self.report()

    def report(self):
        """A heartbeat. The entry changes when more than seq-no changes."""
        if self.store.is_silent() or self.gone:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": "draining" if self.leaving else "ready",
                 "warmup-left-ms": self.warmup_left_ms, "born": self.born}
        if entry != self.reported:
            self.reported = entry
            self.store.put("servers/" + self.id, json.dumps({**entry, "seq-no": self.sequence}).encode())
            self.accepted_at = now() if self.leaving else None

    def leave(self):
        """Begins to leave. It reports that to the store as soon as the store answers, and serves on until then."""
        self.leaving = True
        self.report()

    async def exit(self):
        """Ends the instance: its entry is removed, and its connections end once they are idle."""
        self.gone = True
        self.store.remove("servers/" + self.id)
        self.server.close()
        end = now() + 2
        while self.running > 0 and now() < end:
            await asyncio.sleep(0.02)
        for writer in list(self.connections):
            writer.close()

    async def take_slot(self):
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def build(self, status, fields, body):
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", f"Keep-Alive: timeout={KEEP_ALIVE_S}",
                 f"Instance-Load: {load}"] + [f"{k}: {v}" for k, v in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def answer(self, line, fields, body):
        """Returns the kind of the answer, the attempt and the bytes."""
        method, path = line.split(" ")[:2]
        if path == "/health":
            self.health_checks += 1
            if not await self.take_slot():
                return "health", None, self.build(503, {"Not-Executed": "1"}, b"")
            try:
                await asyncio.sleep(0.001)
                status = 503 if self.leaving else 200
                return "health", None, self.build(status, {"Instance-Id": self.id, "Warmup-Ms": "0"}, b"")
            finally:
                self.free_slot()
        attempt = fields.get("attempt-id")
        if attempt is None:
            return "rejected", None, self.build(400, {"Not-Executed": "1"}, b"")
        echo = {"Attempt-Id": attempt}
        if fields.get("target-instance", self.id) != self.id:
            return "rejected", attempt, self.build(421, {**echo, "Not-Executed": "1"}, b"")
        ends = now() + int(fields.get("deadline-ms", "60000")) / 1000
        if not await self.take_slot():
            return "rejected", attempt, self.build(503, {**echo, "Not-Executed": "1"}, b"")
        try:
            if now() >= ends:
                return "rejected", attempt, self.build(503, {**echo, "Not-Executed": "1"}, b"")
            self.record.ran(attempt, self.id, fields.get("caller-service"))
            work_s = self.work_s * self.random.uniform(0.7, 1.3)
            await asyncio.sleep(min(work_s, ends - now()))
            self.record.ended(attempt, self.id)
            if now() > ends and work_s > 0:
                return "answer", attempt, self.build(504, {**echo, "Server-Seal": f"{self.id}.{attempt}"}, b"")
            return "answer", attempt, self.build(200, {**echo, "Server-Seal": f"{self.id}.{attempt}"},
                                                 attempt.encode() * 4)
        finally:
            self.free_slot()

    async def serve(self, reader, writer):
        extra = None
        self.connections.add(writer)
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), KEEP_ALIVE_S)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if extra is not None:
                    writer.write(extra)
                    await writer.drain()
                    extra = None
                kind, attempt, data = await self.answer(head[0], head[1], body)
                spoiled = self.spoil(kind, attempt) if self.spoil else None
                writer.write(data if spoiled is None else spoiled)
                await writer.drain()
                if self.extra_share > 0 and self.random.random() < self.extra_share:
                    self.record.note(f"{self.id} sends a second copy of its {kind} answer late"
                                     f" ({data.split(b' ', 2)[1].decode()}, attempt {attempt})")
                    extra = data
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError):
            pass  # the connection was closed or is idle, or the case ends
        finally:
            self.connections.discard(writer)
            writer.close()


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = now()
        self.runs = collections.defaultdict(list)
        self.answers = {}

    def note(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")

    def sent(self, attempt, what):
        self.note(f"client sends {attempt} {what}")

    def ran(self, attempt, instance, caller):
        self.runs[attempt].append(instance)
        self.note(f"{instance} runs {attempt} (caller {caller})")

    def ended(self, attempt, instance):
        self.note(f"{instance} ends {attempt}")

    def answered(self, attempt, status, fields):
        self.answers[attempt] = (status, fields)
        self.note(f"client gets {status} for {attempt}, seal {fields.get('server-seal')}, "
                  f"outcome {fields.get('x-parsleyyard-outcome')} {fields.get('x-parsleyyard-reason')}")


class Client:
    """Sends one request after another on a kept connection."""

    def __init__(self, record, address, port, host, name):
        self.record, self.address, self.port, self.host, self.name = record, address, port, host, name
        self.connection, self.count = None, 0

    async def request(self, method, path, body=b"", deadline_ms=1500):
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        self.record.sent(attempt, f"{method} {path}")
        try:
            if self.connection is None:
                self.connection = await asyncio.wait_for(asyncio.open_connection(self.address, self.port), 1)
            reader, writer = self.connection
            writer.write(head + body)
            status, fields = await asyncio.wait_for(self.read(reader), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            self.record.note(f"client gets nothing for {attempt}: {type(error).__name__}")
            return attempt, None, {}
        self.record.answered(attempt, status, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return attempt, status, fields

    async def read(self, reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed")
        fields = head[1]
        await read_body(reader, fields)
        return int(head[0].split(" ")[1]), fields

    def close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None


def free_ports(addresses, count):
    """Ports that are free at all of the addresses."""
    ports, candidates = [], list(range(20000, 29000))
    random.shuffle(candidates)
    for port in candidates:
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


class Fleet:
    """Daemons beside instances. `hosts`: (address, zone, service) each."""

    def __init__(self, hosts, regions, folder):
        self.hosts, self.regions, self.folder = hosts, regions, pathlib.Path(folder)
        self.store_address = "127.81.0.1"
        addresses = [h[0] for h in hosts] + [self.store_address]
        self.callers, self.ready, self.peers, self.admin, self.app, self.store_port = free_ports(addresses, 6)
        self.processes = {}

    def settings(self, host):
        address, zone, service = host
        zones = ",".join(f"{z}:{r}" for z, r in self.regions.items())
        path = self.folder / (address + ".ini")
        path.write_text(
            f"[host]\nname = {address}\naddress = {address}\nfailure_domain = {zone}\nregion = {self.regions[zone]}\n"
            f"domains = {zones}\n\n[listen]\ncallers = {address}:{self.callers}\nready = {address}:{self.ready}\n"
            f"peers = {self.peers}\nadmin = {self.admin}\n\n[upstream]\ninstance = {address}:{self.app}\n"
            f"service = {service}\n\n[platform]\nstore = {self.store_address}:{self.store_port}\n"
            f"bounds = {BOUNDS}\n\n[process]\nmemory_mb = 260\n")
        return path

    def start_daemon(self, host):
        log = open(self.folder / (host[0] + ".log"), "ab")
        self.processes[host[0]] = subprocess.Popen(
            ["target/parsleyyardd"], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "PARSLEYYARD_SETTINGS": str(self.settings(host))})

    async def wait_ready(self, seconds=20):
        end = now() + seconds
        for host in self.hosts:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(host[0], self.ready)
                    writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    head = await read_head(reader)
                    writer.close()
                    if head and " 200 " in head[0]:
                        break
                except OSError:
                    pass
                if now() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def configuration(version, routes, services, limits=None):
    resources = [{"resource-type": "routes", "metadata": {"name": name}, "spec": spec} for name, spec in routes.items()]
    resources += [{"resource-type": "services", "metadata": {"name": name},
                   "spec": {"health-path": "/health", "max-connections": 120, "protocol": "h1", "tls": False,
                            "warmup-s": 3.0, "warmup-per-s": 16.0}} for name in services]
    resources.append({"resource-type": "limits", "metadata": {"name": "limits"},
                      "spec": limits or {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                                         "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
    return json.dumps({"version": version, "resources": resources}).encode()


def main(folder, case):
    """Runs case(record, temporary folder); exits with its status, or 2 if it could not run."""
    if not (ROOT / "target" / "parsleyyardd").exists():
        print("target/parsleyyardd is missing: build as deploy/system.toml says")
        sys.exit(2)
    record = Record(pathlib.Path(folder) / "record.txt")

    async def guarded(temporary):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, temporary), 115)

    with tempfile.TemporaryDirectory(prefix="parsleyyard-review-") as temporary:
        try:
            status = asyncio.run(guarded(temporary))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # the case could not run
            record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            status = 2
    record.file.close()
    sys.exit(status)
