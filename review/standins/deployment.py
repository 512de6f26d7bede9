"""Small deployment on loopback addresses: the project's daemons as processes, and stand-ins.

The store, the instances and the clients are stand-ins that speak what PROTOCOL.md
says. All sockets use loopback addresses of one random /24 and free ports.
"""

import asyncio
import base64
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
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = ("drain-ms=2000,grace-s=6,contact-ms=3000,ack-ms=4000,config-apply-ms=2000,rollback-slack-ms=250,"
          "budget-ratio=0.2,budget-window-s=10,budget-slack=60,warmup-factor=1.5,warmup-slack=5,evac-ms=5000,"
          "reuse-after-s=2,loss-slack-ms=200,recover-s=15")


# `memory-mb` of the settings of the site, as deploy/parsleyyardd.ini.tmpl passes it on.
MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not run: neither kept nor broken."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------
# HTTP
# ---------------------------------------------------------------------------

async def read_head(reader):
    """Returns the first line and the fields (names in lower case), or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_sized_body(reader, fields):
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def format_response(status, reason, fields, body):
    head = f"HTTP/1.1 {status} {reason}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Answer:
    def __init__(self, status, fields, body, whole, error=""):
        self.status, self.fields, self.body, self.whole, self.error = status, fields, body, whole, error


async def ask(address, port, method, host, path, fields=None, body=b"", timeout=10):
    """One request on a new connection. `whole`: the answer is complete by its own framing."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port, limit=1 << 24), 1)
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in (fields or {}).items())
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b"", False, type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", False, "closed")
    line, fields = head
    status = int(line.split()[1])
    body = b""
    if "content-length" not in fields:
        return Answer(status, fields, await reader.read(-1), False, "no length")
    try:
        body = await read_sized_body(reader, fields)
    except asyncio.IncompleteReadError as error:
        return Answer(status, fields, error.partial, False, "cut")
    return Answer(status, fields, body, True)


# ---------------------------------------------------------------------------
# The platform's store
# ---------------------------------------------------------------------------

class Store:
    """Answers kv-range, kv-key and kv-watch as PROTOCOL.md says."""

    PAGE = 500

    def __init__(self):
        self.items, self.log, self.revision = {}, [], 0
        self.changed = asyncio.Event()

    def put(self, key, document):
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "rev": self.revision, "created": created, "lease": 0}
        self.notify(self.items[key])

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.notify({"key": key, "rev": self.revision, "removed": True})

    def notify(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                target = urllib.parse.urlsplit(head[0].split()[1])
                query = {k: v[0] for k, v in urllib.parse.parse_qs(target.query, keep_blank_values=True).items()}
                status, document = await self.answer(target.path, query)
                writer.write(format_response(status, "OK" if status == 200 else "Error",
                                             {"Content-Type": "application/json"}, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item) if item else (404, {})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and
                          k > query.get("after", ""))
            page = [self.items[k] for k in keys[:self.PAGE]]
            return 200, {"items": page, "has-more": len(keys) > self.PAGE, "as-of": self.revision}
        if path == "/api/kv-watch":
            after, prefix = int(query.get("after", "0")), query.get("prefix", "")
            deadline = time.monotonic() + min(30000, int(query.get("wait-ms", "0"))) / 1000
            while True:
                events = [e for e in self.log if e["rev"] > after and e["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as-of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


# ---------------------------------------------------------------------------
# Instances
# ---------------------------------------------------------------------------

class Instance:
    """Stand-in for an instance. Override run() for what a request does."""

    WINDOW_BYTES = 64 * 1024

    def __init__(self, deployment, host, service, work_s=0.02):
        self.deployment, self.host, self.service, self.work_s = deployment, host, service, work_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.running, self.slots, self.sequence = 0, 12, 0

    async def start(self):
        # DEPLOY.md: links have small windows, so a peer that does not read blocks the writer.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES)
        listener.bind((self.host.address, self.deployment.instance_port))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=self.WINDOW_BYTES)
        self.register()

    def register(self, state="ready"):
        self.sequence += 1
        self.deployment.store.put("servers/" + self.id, {
            "service": self.service, "address": f"{self.host.address}:{self.deployment.app_port}",
            "zone": self.host.zone, "version": "v1", "slots": self.slots, "state": state, "warmup-left-ms": 0,
            "seq-no": self.sequence, "born": self.born})

    def own_fields(self):
        return {"Instance-Load": f"{self.running},0,{self.slots}", "Keep-Alive": "timeout=10"}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                method, path, _ = line.split()
                if path == "/health":
                    writer.write(format_response(200, "OK", {**self.own_fields(), "Instance-Id": self.id,
                                                             "Warmup-Ms": "0"}, b""))
                elif fields.get("target-instance", self.id) != self.id:
                    await read_sized_body(reader, fields)
                    writer.write(format_response(421, "Misdirected", {"Not-Executed": "1"}, b""))
                else:
                    self.running += 1
                    attempt = fields.get("attempt-id", "-")
                    self.deployment.record.write(f"run     {attempt} {method} {path} by {self.id} ({self.service}) "
                                                 f"for {fields.get('caller-service', '-')}")
                    self.deployment.runs.setdefault(attempt, []).append((self.id, self.service, path))
                    self.deployment.run_at.setdefault(attempt, time.monotonic())
                    try:
                        keeps = await self.run(attempt, fields, reader, writer)
                    finally:
                        self.running -= 1
                    if not keeps:
                        break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, attempt, fields, reader, writer):
        """Runs one request. Returns True if the connection is kept."""
        await read_sized_body(reader, fields)
        await asyncio.sleep(self.work_s)
        writer.write(format_response(200, "OK", {**self.own_fields(), "Attempt-Id": attempt,
                                                 "Server-Seal": self.seal(attempt)}, b"done " + attempt.encode()))
        return True

    def seal(self, attempt):
        return f"{self.id}.{attempt}"


# ---------------------------------------------------------------------------
# Machines
# ---------------------------------------------------------------------------

class Host:
    def __init__(self, address, zone, region, service):
        self.address, self.zone, self.region, self.service = address, zone, region, service


class Deployment:
    PLACES = [("mvd-a", "montevideo"), ("mvd-b", "montevideo"), ("ltr-a", "litoral"), ("ltr-b", "litoral")]

    def __init__(self, record, workdir, services, places=None, bounds=BOUNDS):
        """`services`: the service of each machine, in order. `places`: zones and regions, used in turn."""
        self.record, self.workdir = record, pathlib.Path(workdir)
        self.runs, self.run_at = {}, {}  # by attempt: what ran it; when the first run began
        self.places, self.bounds = places or self.PLACES, bounds
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.hosts = [Host(f"{self.net}.{i + 10}", *self.places[i % len(self.places)], service)
                      for i, service in enumerate(services)]
        self.pick_ports()
        self.store, self.daemons = Store(), {}
        self.version = 0

    def pick_ports(self):
        for _ in range(200):
            base = random.randint(15000, 30000)
            if all(self.is_free(a, base + i) for a in [f"{self.net}.1"] + [h.address for h in self.hosts]
                   for i in range(8)):
                self.outbound, self.ready, self.peers, self.admin = base, base + 1, base + 2, base + 3
                self.app_port = self.instance_port = base + 4
                self.store_port = base + 5
                return
        raise CannotRun("no free ports")

    @staticmethod
    def is_free(address, port):
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return True
            except OSError:
                return False

    async def start_store(self):
        await self.store.start(f"{self.net}.1", self.store_port)

    def publish(self, routes, services, limits=None):
        """Writes op/config. `routes`: name -> spec; `services`: names."""
        self.version += random.randint(1, 5)
        resources = [{"resource-type": "routes", "metadata": {"name": name},
                      "spec": {"kind": "idempotent", "timeout-ms": 8000, "target-latency-ms": 4000, "priority": 1,
                               "max-attempts": 2, "allowed-regions": [], **spec}} for name, spec in routes.items()]
        resources += [{"resource-type": "services", "metadata": {"name": name},
                       "spec": {"health-path": "/health", "max-connections": 120, "protocol": "h1", "tls": False,
                                "warmup-s": 3.0, "warmup-per-s": 16.0}} for name in services]
        resources.append({"resource-type": "limits", "metadata": {},
                          "spec": limits or {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                                             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
        self.store.put("op/config", {"version": self.version, "resources": resources})
        self.record.write(f"config  version {self.version} acknowledged by the store")

    def command(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            return tomllib.load(file)["roles"]["parsleyyardd"]["run"].split()

    def start_daemon(self, host):
        settings = self.workdir / f"{host.address}.ini"
        settings.write_text(
            f"[host]\nname = {host.address}\naddress = {host.address}\nfailure_domain = {host.zone}\n"
            f"region = {host.region}\ndomains = {', '.join(z + ':' + r for z, r in self.places)}\n\n"
            f"[listen]\ncallers = {host.address}:{self.outbound}\nready = {host.address}:{self.ready}\n"
            f"peers = {self.peers}\nadmin = {self.admin}\n\n"
            f"[upstream]\ninstance = {host.address}:{self.app_port}\nservice = {host.service}\n\n"
            f"[platform]\nstore = {self.net}.1:{self.store_port}\nbounds = {self.bounds}\n\n"
            f"[process]\nmemory_mb = {MEMORY_MB}\n")
        program = ROOT / self.command()[0]
        if not program.exists():
            raise CannotRun(f"{program} is not built")
        log = open(self.workdir / f"{host.address}.log", "ab")
        self.daemons[host.address] = subprocess.Popen(
            [str(program), *self.command()[1:]], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", "/usr/bin"), "PARSLEYYARD_SETTINGS": str(settings)})
        log.close()

    async def wait_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        for host in self.hosts:
            while True:
                answer = await ask(host.address, self.ready, "GET", host.address, "/api/readiness", timeout=1)
                if answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f"{host.address} is not ready")
                await asyncio.sleep(0.1)

    def ended_daemons(self):
        return [a for a, p in self.daemons.items() if p.poll() is not None]

    def stop_all(self):
        for process in self.daemons.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def main(folder, services, play, **options):
    """Runs `play(deployment, trouble)`, which returns the list of what broke the rule, and exits as a case does."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble {'on' if trouble else 'off'}")

    async def run():
        with tempfile.TemporaryDirectory() as workdir:
            deployment = Deployment(record, workdir, services, **options)
            try:
                return await asyncio.wait_for(play(deployment, trouble), 110)
            finally:
                deployment.stop_all()

    # Whoever ends the script early ends its daemons too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case could not run, whatever the reason; 1 is for a broken rule alone
        record.write(f"result  could not run: {type(error).__name__} {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    for line in broken:
        record.write("broken  " + line)
    record.write(f"result  {'broken' if broken else 'kept'}")
    print("broken" if broken else "kept", *broken[:5], sep="\n  ")
    sys.exit(1 if broken else 0)
