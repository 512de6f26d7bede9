"""Runs a fleet of daemons and stand-ins as processes on loopback addresses."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
STORE_ADDRESS = "127.1.0.1:7000"
LINK_ADMIN_ADDRESS = "127.201.0.1:7001"
VIRTUAL_HOST = "shop.example"

FAROLITO = {
    "name": "farolito",
    "regions": {"montevideo": ["mvd-a", "mvd-b"], "litoral": ["ltr-a", "ltr-b"]},
    "services": {"vitrina": 5, "agenda": 4, "pedidos": 4},
    "slots": 12, "connections": 120, "service_ms": 5, "delay_ms": 12,
    "routes": [
        {"name": "catalogue", "spec": {"prefix": "/vitrina/", "service": "vitrina", "kind": "idempotent", "priority": 2}},
        {"name": "slots", "spec": {"prefix": "/agenda/", "service": "agenda", "kind": "non_idempotent", "priority": 1}},
        {"name": "orders", "spec": {"prefix": "/pedidos/", "service": "pedidos", "kind": "non_idempotent"}},
        {"name": "board", "spec": {"prefix": "/litoral/agenda/", "service": "agenda", "kind": "non_idempotent",
                                   "priority": 1, "allowed-regions": ["litoral"]}},
        {"name": "nowhere", "spec": {"prefix": "/nowhere/", "service": "agenda", "kind": "non_idempotent",
                                     "allowed-regions": ["salto"]}},
    ],
    "mix": ["7:browse:0:-:GET:/vitrina/", "2:booking:1:-:POST:/agenda/", "1:order:1:-:POST:/pedidos/",
            "0.5:booking:1:litoral:POST:/litoral/agenda/"],
}

PONOVNA = {
    "name": "ponovna",
    "regions": {"osrednja": ["ljubljana-a", "kranj-b"], "stajerska": ["maribor-a", "celje-b"]},
    "services": {"katalog": 6, "prevzemi": 4, "blagajna": 4},
    "slots": 6, "connections": 130, "service_ms": 5, "delay_ms": 12,
    "routes": [
        {"name": "catalogue", "spec": {"prefix": "/katalog/", "service": "katalog", "kind": "idempotent", "priority": 2}},
        {"name": "pickups", "spec": {"prefix": "/prevzemi/", "service": "prevzemi", "kind": "non_idempotent",
                                     "priority": 1}},
        {"name": "sales", "spec": {"prefix": "/blagajna/", "service": "blagajna", "kind": "non_idempotent"}},
        {"name": "vouchers", "spec": {"prefix": "/stajerska/blagajna/", "service": "blagajna", "kind": "non_idempotent",
                                      "allowed-regions": ["stajerska"]}},
    ],
    "mix": ["7:browse:0:-:GET:/katalog/", "2:booking:1:-:POST:/prevzemi/", "1:order:1:-:POST:/blagajna/",
            "0.5:order:1:stajerska:POST:/stajerska/blagajna/"],
}

PROFILES = {"farolito": FAROLITO, "ponovna": PONOVNA}


# Returns the response body of a GET, or of a POST of `body` as JSON if it is given.
def fetch(url, body=None, timeout=5):
    data = json.dumps(body).encode() if body is not None else None
    with urllib.request.urlopen(urllib.request.Request("http://" + url, data=data), timeout=timeout) as response:
        return response.read().decode()


# A host with a daemon and the instance beside it.
class Host:
    def __init__(self, address, domain, region, service, instance):
        self.address, self.domain, self.region = address, domain, region
        self.service, self.instance = service, instance


def place_hosts(profile):
    """Places the instances of each service in the failure domains in turn."""
    domains = [(d, r) for r, ds in profile["regions"].items() for d in ds]
    hosts, used = [], {}
    for index, (service, count) in enumerate(profile["services"].items()):
        for i in range(count):
            slot = (i + index) % len(domains)
            domain, region = domains[slot]
            used[slot] = used.get(slot, 0) + 1
            address = f"127.1.{slot + 1}.{used[slot]}"
            hosts.append(Host(address, domain, region, service, f"{service}-{i + 1}"))
    return hosts


def make_configuration(profile, version, cold_ms=0, note=""):
    """The configuration document that the operator publishes; see docs/PLATFORM.md."""
    resources = [{"resource-type": "routes", "metadata": {"name": route["name"]},
                  "spec": {"host": VIRTUAL_HOST, "max-attempts": 2, "timeout-ms": 2000, "target-latency-ms": 1000,
                           **route["spec"]}} for route in profile["routes"]]
    if note:
        resources.append({"resource-type": "routes", "metadata": {"name": "note"},
                          "spec": {"host": "note.example", "prefix": f"/{note.replace(' ', '-')}/",
                                   "service": next(iter(profile["services"]))}})
    # A cold instance starts with a tenth of its slots; the cold rate is half of what these can run.
    cold_rate = max(1, profile["slots"] // 10) * 1000 / profile["service_ms"] / 2
    resources += [{"resource-type": "services", "metadata": {"name": service},
                   "spec": {"health-path": "/health", "max-connections": profile["connections"],
                            "warmup-s": cold_ms / 1000, "warmup-per-s": cold_rate}} for service in profile["services"]]
    resources += [{"resource-type": "tenants", "metadata": {"name": name}, "spec": spec}
                  for name, spec in profile.get("workspaces", {}).items()]
    resources.append({"resource-type": "limits", "metadata": {},
                      "spec": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                               "idle-timeout-ms": 30000}})
    return {"version": version, "resources": resources}


# The processes of one fleet. As a context manager it starts them and kills them at the end. If its block ends with an
# error, all logs are kept in a new directory below `kept_dir`, where that is given.
class Fleet:
    def __init__(self, profile, out_dir, build="build", region_link=True, cold_ms=0, settings=None, hosts=None,
                 upstreams=True, kept_dir=None):
        self.profile, self.build = profile, ROOT / build
        self.out_dir = pathlib.Path(out_dir)
        self.region_link, self.cold_ms, self.upstreams = region_link, cold_ms, upstreams
        self.settings = settings or {}
        self.kept_dir = pathlib.Path(kept_dir) if kept_dir else None
        self.hosts = hosts or place_hosts(profile)
        self.processes, self.evacuation_changes, self.version = {}, [], 0
        self.operator_writes = {}  # by key, in the order of their last change: the value; None if removed
        self.out_dir.mkdir(parents=True, exist_ok=True)
        for old_file in self.out_dir.glob("*"):
            if old_file.is_file():
                old_file.unlink()

    def spawn(self, name, *command):
        with open(self.out_dir / (name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([str(c) for c in command], stdout=log, stderr=log)

    def write_settings(self, host):
        domains = [f"{d}:{r}" for r, ds in self.profile["regions"].items() for d in ds]
        values = {"host": {"address": host.address, "failure_domain": host.domain, "region": host.region,
                           "domains": ", ".join(domains)},
                  "listen": {"callers": host.address + ":8080", "ready": host.address + ":8083",
                             "other_region_prefix": "127.201" if self.region_link else ""},
                  "upstream": {"instance": host.address + ":9000", "service": host.service},
                  "platform": {"store": STORE_ADDRESS}}
        for section, keys in self.settings.items():
            values.setdefault(section, {}).update(keys)
        path = self.out_dir / (host.address + ".ini")
        lines = []
        for section, keys in values.items():
            lines += [f"[{section}]"] + [f"{k} = {v}" for k, v in keys.items()]
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_daemon(self, host):
        self.spawn("daemon-" + host.address, self.build / "parsleyyardd", "--config", self.write_settings(host))

    def start_upstream(self, host):
        self.spawn("upstream-" + host.address, self.build / "standin_upstream", "--address", host.address,
                   "--instance", host.instance, "--service", host.service, "--failure-domain", host.domain,
                   "--log", self.out_dir / (host.instance + ".exec"), "--slots", self.profile["slots"],
                   "--service-ms", self.profile["service_ms"], "--cold-ms", self.cold_ms)

    def start(self):
        self.spawn("platform", self.build / "standin_platform")
        if self.region_link:
            names = [f"{h.address}={h.region}" for h in self.hosts]
            self.spawn("region_link", self.build / "standin_region_link", "--delay-ms", self.profile["delay_ms"],
                       "--hosts", *names)
        self.wait_for_url(STORE_ADDRESS + "/admin/stats")
        self.publish_configuration()
        for host in self.hosts:
            if self.upstreams:
                self.start_upstream(host)
            self.start_daemon(host)

    def publish_configuration(self, note=""):
        self.version += 1
        self.write_as_operator("op/config", make_configuration(self.profile, self.version, self.cold_ms, note))
        return self.version

    def write_as_operator(self, key, value):
        """Writes a key of the store, or removes it if `value` is None."""
        self.operator_writes.pop(key, None)
        self.operator_writes[key] = value
        self.send_write(key, value)

    def send_write(self, key, value):
        if value is None:
            fetch(f"{STORE_ADDRESS}/admin/remove?key={key}", {})
        else:
            fetch(f"{STORE_ADDRESS}/admin/put?key={key}", value)

    def copy_store(self):
        fetch(STORE_ADDRESS + "/admin/copy")

    def restore_store(self):
        """Takes the store back to its last copy. Instances register again by themselves."""
        fetch(STORE_ADDRESS + "/admin/restore")

    def write_again(self, delay_s=0):
        """Writes again, after a delay, all that the operator has written and removed, in that order."""
        time.sleep(delay_s)
        for key, value in self.operator_writes.items():
            self.send_write(key, value)

    def change_evacuation(self, **change):
        """Evacuates a failure domain (out=NAME) or ends its evacuation (in_=NAME)."""
        (direction, domain), = change.items()
        direction = direction.rstrip("_")
        sent_ms = int(time.time() * 1000)
        self.write_as_operator("op/evacuate/" + domain, {} if direction == "out" else None)
        self.evacuation_changes.append((int(time.time() * 1000), direction, domain))
        with open(self.out_dir / "evacuations.log", "a") as log:
            log.write(f"{direction} {domain} sent {sent_ms} acknowledged {self.evacuation_changes[-1][0]}\n")

    def set_store_fault(self, mode):
        fetch(f"{STORE_ADDRESS}/admin/fault?mode={mode}")

    def cut_link(self, direction):
        fetch(f"{LINK_ADMIN_ADDRESS}/?cut={direction}")

    def reorder_link(self, max_extra_ms):
        fetch(f"{LINK_ADMIN_ADDRESS}/?reorder_ms={max_extra_ms}")

    def link_bytes(self):
        return json.loads(fetch(LINK_ADMIN_ADDRESS + "/"))

    def status(self, host, timeout=2):
        try:
            return json.loads(fetch(f"{host.address}:8082/status", timeout=timeout))
        except OSError:
            return None

    def wait_for_url(self, url, seconds=10):
        deadline = time.time() + seconds
        while time.time() < deadline:
            try:
                return fetch(url, timeout=1)
            except OSError:
                time.sleep(0.05)
        raise RuntimeError("no response from " + url)

    def wait_ready(self, seconds=30, hosts=None, version=0):
        """Waits until all daemons admit calls with at least that configuration version; returns the seconds taken."""
        start = time.time()
        missing = list(hosts or self.hosts)
        while missing and time.time() < start + seconds:
            missing = [h for h in missing if not self.is_ready(h, version)]
            time.sleep(0.02 if missing else 0)
        if missing:
            versions = {h.address: (self.status(h) or {}).get("version") for h in missing}
            raise RuntimeError(f"daemons not ready in time, with their versions: {versions}")
        return time.time() - start

    def is_ready(self, host, version):
        status = self.status(host)
        return bool(status and status["admits"] and status["version"] >= version and status["instances"] > 0)

    def send_signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name, seconds=40):
        """Sends SIGTERM and waits for the orderly stop; returns the exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(seconds)

    def start_callers(self, name, rate, seconds, seed, mix=None, hosts=None, **options):
        option_arguments = [str(x) for k, v in options.items() for x in ("--" + k.replace("_", "-"), v)]
        self.spawn("callers-" + name, self.build / "standin_callers", "--daemons",
                   *[h.address for h in (hosts or self.hosts)], "--mix", *(mix or self.profile["mix"]),
                   "--log", self.out_dir / (name + ".calls"), "--rate", rate, "--seconds", seconds, "--seed", seed,
                   *option_arguments)

    def join_callers(self, name, seconds=120):
        return self.processes.pop("callers-" + name).wait(seconds)

    def stop_all(self):
        for process in self.processes.values():
            try:
                process.send_signal(signal.SIGCONT)
            except ProcessLookupError:
                pass
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, error_type, *unused):
        self.stop_all()
        if error_type is not None and self.kept_dir is not None:
            self.keep_logs()

    def keep_logs(self):
        """Copies the logs to a new directory, since the next fleet removes them; prints its name."""
        kept = self.kept_dir / time.strftime("%Y%m%dT%H%M%S")
        shutil.copytree(self.out_dir, kept, dirs_exist_ok=True)
        print(f"logs kept in {kept}", file=sys.stderr)


def resident_memory_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
