"""Stand-ins and process control for the cases of the second review.

One Python process plays the platform's store, the instances and the clients on
loopback addresses; the daemons are the project's own program, started with the
command and the template of deploy/system.toml. See PROTOCOL.md and DEPLOY.md of
the users' pages for what the stand-ins speak.
"""

import asyncio
import base64
import json
import os
import pathlib
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
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

# A page of a range read: "at most about 500 items or 1 MB".
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
STORE_ANSWER_S = 0.004


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text, at=None):
        self.lines.append((self.now() if at is None else at, text))

    def write(self, path):
        with open(path, "w") as out:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                out.write(f"{at:9.3f}  {text}\n")


# ---------------------------------------------------------------------------
# HTTP
# ---------------------------------------------------------------------------

class Broken(Exception):
    """The connection ended before a whole message had arrived."""


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body of an HTTP message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken() from error
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                body += chunk[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken() from error
    return first, headers, body


def response_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------------------
# The platform's store
# ---------------------------------------------------------------------------

class Store:
    """One revision counter, paged range reads and watches. `listen` takes the distance of the callers of a region."""

    def __init__(self, record):
        self.record = record
        self.items = {}    # key -> (base64 text, revision, revision of creation)
        self.history = []  # (revision, event)
        self.revision = 100
        self.dropped = 100
        self.changed = asyncio.Event()
        self.mode = "up"
        self.tasks = set()

    def put(self, key, value):
        """Writes an item; returns the time of the acknowledgement."""
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        if key in self.items and self.items[key][0] == text:
            return self.record.now()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (text, self.revision, created)
        self._changed(self._item(key))
        return self.record.now()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._changed({"key": key, "rev": self.revision, "removed": True})
        return self.record.now()

    def _changed(self, event):
        self.history.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        text, revision, created = self.items[key]
        return {"key": key, "value": text, "rev": revision, "created": created, "lease": 0}

    async def listen(self, address, port, one_way_s=0.0005, bytes_per_s=None):
        """Serves callers that are `one_way_s` away behind a link of that bandwidth."""
        link = {"free_at": 0.0}

        async def serve(reader, writer):
            try:
                while True:
                    first, headers, _ = await read_message(reader)
                    await asyncio.sleep(one_way_s + STORE_ANSWER_S)
                    if self.mode == "silent":
                        await asyncio.sleep(3600)
                    status, body = await self._answer(first.split(" ")[1])
                    if self.mode == "silent":
                        await asyncio.sleep(3600)
                    data = response_bytes(status, [("Content-Type", "application/json")], body)
                    delay = one_way_s
                    if bytes_per_s:
                        begin = max(time.monotonic(), link["free_at"])
                        link["free_at"] = begin + len(data) / bytes_per_s
                        delay += link["free_at"] - time.monotonic()
                    await asyncio.sleep(delay)
                    writer.write(data)
                    await writer.drain()
            except (Broken, ConnectionError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(serve, address, port)

    async def _answer(self, target):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-range":
            return 200, self._page(args.get("prefix", ""), args.get("after", ""))
        if path == "/api/kv-key":
            key = args.get("key", "")
            if key not in self.items:
                return 404, b"{}"
            return 200, json.dumps({**self._item(key), "as-of": self.revision}).encode()
        if path == "/api/kv-watch":
            return await self._watch(args.get("prefix", ""), int(args["after"]), int(args["wait-ms"]) / 1000)
        return 404, b"{}"

    def _page(self, prefix, after):
        taken, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            item = self._item(key)
            if taken and (len(taken) >= PAGE_ITEMS or size + len(item["value"]) > PAGE_BYTES):
                more = True
                break
            taken.append(item)
            size += len(item["value"]) + len(key) + 80
        return json.dumps({"items": taken, "has-more": more, "as-of": self.revision}).encode()

    async def _watch(self, prefix, after, wait_s):
        if after < self.dropped or after > self.revision:
            return 410, b"{}"
        deadline = time.monotonic() + wait_s
        while True:
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, json.dumps({"events": events, "as-of": self.revision}).encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------------------
# Instances
# ---------------------------------------------------------------------------

class Instance:
    """An application instance: registers itself, runs `slots` requests at once and queues a few more."""

    def __init__(self, world, host, work_s, slots=12, queue=24, ident=None, cold_s=0.0, born_ms=None):
        self.world, self.host, self.record = world, host, world.record
        self.ident = ident or "i-%010x" % world.random.getrandbits(40)
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.born_ms = born_ms if born_ms is not None else int(time.time() * 1000)
        self.sequence, self.state, self.registered = 0, "ready", None
        self.cold_until = time.monotonic() + cold_s
        self.running, self.waiting = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.writers, self.tasks = set(), set()
        self.server = None
        self.draining_at = None  # acknowledgement of the report, seconds of the record
        self.ended = False
        self.arrivals = []  # (seconds, request id, daemon's caller service)
        self.in_progress = {}

    def warmup_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def start(self, register=True):
        self.server = await asyncio.start_server(self._serve, self.host.address, self.world.app_port)
        if register:
            self.register()

    def register(self):
        """Writes the entry if more than the sequence number has changed; returns the time of the acknowledgement."""
        entry = {"service": self.host.service, "address": f"{self.host.address}:{self.world.app_port}",
                 "zone": self.host.zone, "version": "v1", "slots": self.slots, "state": self.state,
                 "warmup-left-ms": self.warmup_left_ms(), "born": self.born_ms}
        if entry != self.registered:
            self.sequence += 1
            self.registered = entry
            self.world.store.put("servers/" + self.ident, {**entry, "seq-no": self.sequence})
        return self.record.now()

    def drain(self):
        self.state = "draining"
        self.draining_at = self.register()
        self.record.add(f"instance {self.ident} at {self.host.name} reports draining; the store accepts it")

    def end(self):
        """The process of the instance exits; its connections end."""
        self.ended = True
        self.record.add(f"instance {self.ident} at {self.host.name} exits with {len(self.in_progress)} requests at work")
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, extra, payload = await self._handle(method, target, headers, body)
                extra += [("Instance-Load", f"{self.running},{self.waiting},{self.slots}"), ("Keep-Alive", "timeout=10")]
                if "attempt-id" in headers:
                    extra.append(("Attempt-Id", headers["attempt-id"]))
                writer.write(response_bytes(status, extra, payload))
                await writer.drain()
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, headers, body):
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return status, [("Instance-Id", self.ident), ("Warmup-Ms", str(self.warmup_left_ms()))], b""
        rejected = [("Not-Executed", "1")]
        ident = headers.get("attempt-id")
        if not ident:
            return 400, rejected, b""
        if headers.get("target-instance", self.ident) != self.ident:
            return 421, rejected, b""
        self.arrivals.append((self.record.now(), ident, headers.get("caller-service", "")))
        at_once = self.running < self.slots and self.waiting == 0
        if not at_once:
            self.record.add(f"request {ident} reaches {self.ident} at {self.host.name}")
        if self.running >= self.slots and self.waiting >= self.queue:
            return 503, rejected, b""
        deadline = time.monotonic() + int(headers.get("deadline-ms", "5000")) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(0.001, deadline - time.monotonic()))
        except asyncio.TimeoutError:
            return 503, rejected, b""
        finally:
            self.waiting -= 1
        self.running += 1
        self.in_progress[ident] = self.record.now()
        self.record.add(f"request {ident} {'reaches and is run' if at_once else 'is run'} by {self.ident} at {self.host.name}")
        self.world.on_run(self, ident, headers)
        try:
            left = deadline - time.monotonic()
            work = self.work_time()
            await asyncio.sleep(max(0.0, min(work, left)))
            if work > left:
                return 504, [], b""
            return 200, [("Server-Seal", f"seal-{ident}")], f"{ident} {method} {target} {len(body)}\n".encode()
        finally:
            self.running -= 1
            if not self.ended:
                self.in_progress.pop(ident, None)
            self.free.release()

    def work_time(self):
        return self.work_s * self.world.random.uniform(0.6, 1.4)


# ---------------------------------------------------------------------------
# Hosts and daemons
# ---------------------------------------------------------------------------

class Host:
    """A machine: a daemon, an instance beside it and clients."""

    def __init__(self, name, address, zone, region, service, store):
        self.name, self.address, self.zone, self.region = name, address, zone, region
        self.service, self.store = service, store
        self.process = None
        self.disturbed = []  # (begin, end) of kills, stops and starts; end is the latest start
        self.instance = None


def render(template, fields):
    """Fills in the project's template for settings, as DEPLOY.md tells it (without sections for absent values)."""

    def look_up(path, scope):
        value = scope
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        entries = list(look_up(match[1], fields).items())
        out = []
        for index, (key, value) in enumerate(entries):
            text = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(value))
            out.append(text.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda match: str(look_up(match[1], fields)), text)


def free_ports(addresses, count):
    """Ports that are free on all the addresses."""
    found = []
    candidate = random.randrange(21000, 29000)
    while len(found) < count:
        candidate += 1
        sockets = []
        try:
            for address in addresses:
                probe = socket.socket()
                sockets.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((address, candidate))
            found.append(candidate)
        except OSError:
            pass
        finally:
            for probe in sockets:
                probe.close()
    return found


# As on farolito-prod and ponovna-raba; a case can replace some of them by those of its site.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
          "max-stretch-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 60,
          "warmup-factor": 1.5, "warmup-slack": 5, "evac-ms": 5000, "recover-s": 15}


class World:
    def __init__(self, seed, zones, hosts, bounds=None):
        """`zones`: zone -> region; `hosts`: (name, address, zone, service, address of the store)."""
        self.random = random.Random(seed)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.record = Record()
        self.store = Store(self.record)
        self.zones = zones
        self.hosts = [Host(name, address, zone, zones[zone], service, store)
                      for name, address, zone, service, store in hosts]
        addresses = sorted({h.address for h in self.hosts} | {h.store for h in self.hosts})
        ports = free_ports(addresses, 6)
        self.outbound, self.ready, self.app_port, self.peers, self.admin, self.store_port = ports
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["parsleyyardd"]
        self.template = (ROOT / self.role["template"]).read_text()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.answers = {}   # request id -> (status or None, seconds, text)
        self.runs = {}      # request id -> [(seconds, instance)]
        self.sent = {}      # request id -> (seconds, host, path, seconds of the deadline)
        self.counter = 0
        self.clients = set()
        self.on_run = self.note_run

    def note_run(self, instance, ident, headers):
        self.runs.setdefault(ident, []).append((self.record.now(), instance.ident))

    def in_touch(self, host, at):
        """True if nothing was done to the machine in the whole contact-ms before that moment."""
        contact_s = self.bounds["contact-ms"] / 1000
        return all(not (begin <= at and at - contact_s <= end) for begin, end in host.disturbed)

    def sent_on_in_touch(self, ident, instance, at):
        """True if the machines that took the request and sent it on were in touch when they did so."""
        sent_at, sender, _, _ = self.sent[ident]
        return (self.in_touch(self.host(sender), sent_at) and self.in_touch(self.host(sender), at) and
                self.in_touch(instance.host, at))

    def host(self, name):
        return next(h for h in self.hosts if h.name == name)

    # Daemons ---------------------------------------------------------------

    def settings_of(self, host):
        fields = {"node-id": host.name, "ip": host.address, "zone": host.zone, "region": host.region,
                  "zones": self.zones, "bounds": self.bounds, "service": host.service,
                  "app-addr": f"{host.address}:{self.app_port}",
                  "listen": {"outbound": f"{host.address}:{self.outbound}", "ready": f"{host.address}:{self.ready}",
                             "inbound": f"{host.address}:{self.outbound}"},
                  "port-range": [self.peers, self.admin],
                  "platform": {"address": f"{host.store}:{self.store_port}"}, "limits": {"memory-mb": 260}}
        path = self.folder / (host.name + ".ini")
        path.write_text(render(self.template, fields))
        return path

    def start_daemon(self, host):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PARSLEYYARD_SETTINGS"] = str(self.settings_of(host))
        with open(self.folder / (host.name + ".log"), "ab") as log:
            host.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.add(f"daemon {host.name} is started")

    async def stop_daemon(self, host, how=signal.SIGTERM):
        self.record.add(f"daemon {host.name} gets {signal.Signals(how).name}")
        begin = self.record.now()
        host.process.send_signal(how)
        while host.process.poll() is None:
            await asyncio.sleep(0.005)
            if self.record.now() - begin > self.bounds["grace-s"]:
                host.process.kill()
        self.record.add(f"daemon {host.name} has ended with {host.process.returncode}")
        return begin

    async def fetch(self, address, port, path, timeout=1.0):
        """Returns status and body of a GET; status None without an answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), timeout)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
            first, _, body = await asyncio.wait_for(read_message(reader), timeout)
            writer.close()
            return int(first.split(" ")[1]), body
        except (OSError, Broken, asyncio.TimeoutError):
            return None, b""

    async def wait_ready(self, host, seconds=20):
        """Asks for readiness as the platform does, until the answer is 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = await self.fetch(host.address, self.ready, "/api/readiness")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise NotRunnable(f"{host.name} is not ready in time")

    async def status(self, host):
        _, body = await self.fetch(host.address, self.admin, "/status")
        try:
            return json.loads(body)
        except ValueError:
            return {}

    # Clients ---------------------------------------------------------------

    async def send(self, host, method, path, deadline_s, body=b"", virtual_host="shop.example", tag=""):
        """Sends one request on a new connection and notes its answer."""
        self.counter += 1
        ident = f"{tag}{self.counter:06x}"
        self.sent[ident] = (self.record.now(), host.name, path, deadline_s)
        self.record.add(f"{host.name}: client sends {ident} {method} {path}")
        status, text = None, "connection ended"
        headers = {}
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host.address, self.outbound), 1.0)
            head = (f"{method} {path} HTTP/1.1\r\nHost: {virtual_host}\r\nAttempt-Id: {ident}\r\n"
                    f"Deadline-Ms: {int(deadline_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            first, headers, payload = await asyncio.wait_for(read_message(reader), deadline_s)
            status, text = int(first.split(" ")[1]), payload.decode(errors="replace").strip()[:120]
        except asyncio.TimeoutError:
            text = "the client's deadline passes"
        except ConnectionRefusedError:
            text = "connection refused"
        except (Broken, ConnectionError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.answers[ident] = (status, self.record.now(), text, headers)
        self.record.add(f"{host.name}: client gets {status} for {ident}" + ("" if status == 200 else f": {text}"))
        return ident, status

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.clients.add(task)
        task.add_done_callback(self.clients.discard)
        return task

    async def steady_load(self, host, rate, method, path, deadline_s, body=b"", tag=""):
        """Sends requests at random times, `rate` a second on the average, until it is cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            self.spawn(self.send(host, method, path, deadline_s, body, tag=tag))

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if "KEEP_LOGS" in os.environ:
            print("logs of the daemons:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


MAX_RUN_S = 115


class NotRunnable(Exception):
    """The case could not be played."""


def route(name, prefix, service, kind, timeout_ms, target_ms, priority=1, attempts=2, host="shop.example"):
    return {"resource-type": "routes", "metadata": {"name": name},
            "spec": {"host": host, "prefix": prefix, "service": service, "kind": kind, "max-attempts": attempts,
                     "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": priority}}


def service(name, warmup_s=3.0, warmup_per_s=5.8):
    return {"resource-type": "services", "metadata": {"name": name},
            "spec": {"health-path": "/health", "max-connections": 120, "warmup-s": warmup_s,
                     "warmup-per-s": warmup_per_s}}


LIMITS = {"resource-type": "limits", "metadata": {"name": "limits"},
          "spec": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 30000}}


def main(play, record_path):
    """Runs `play(trouble)`, which returns (broken, summary, world). Exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the daemons too
    world = None
    try:
        broken, summary, world = asyncio.run(asyncio.wait_for(play(trouble), MAX_RUN_S))
        world.record.add("result: " + summary)
        print(summary)
        code = 1 if broken else 0
    except Exception as error:  # an error of the script shows nothing of the rule
        print("could not be played:", repr(error), file=sys.stderr)
        code = 2
    if world is not None:
        world.record.write(record_path)
    sys.exit(code)
