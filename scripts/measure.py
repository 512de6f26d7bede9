#!/usr/bin/env python3
"""Measures fleets of real processes.

./run measure convergence|latency|domain-move|cold-start|overload
Each measurement prints its tables and writes them to docs/measurements/NAME.md.
"""

import concurrent.futures
import json
import statistics
import subprocess
import sys
import time

import check
import fleet

OUT_DIR = fleet.ROOT / "out/measure"
REPORT_DIR = fleet.ROOT / "docs/measurements"


def quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def write_report(name, column_heads, rows, notes):
    lines = [f"# Measurement: {name}", "", f"Command: `./run measure {name}`", ""]
    lines += ["| " + " | ".join(column_heads) + " |", "|" + "---|" * len(column_heads)]
    lines += ["| " + " | ".join(str(c) for c in row) + " |" for row in rows]
    lines += [""] + notes
    text = "\n".join(lines) + "\n"
    REPORT_DIR.mkdir(parents=True, exist_ok=True)
    (REPORT_DIR / f"{name}.md").write_text(text)
    print(text)


def make_hosts(count):
    """Returns Farolito's profile and `count` hosts spread over its four failure domains."""
    profile = dict(fleet.FAROLITO)
    names = list(profile["services"])
    domains = [(d, r) for r, ds in profile["regions"].items() for d in ds]
    hosts = []
    for i in range(count):
        domain, region = domains[i % 4]
        service = names[(i // 4) % 3]
        hosts.append(fleet.Host(f"127.1.{i % 4 + 1}.{i // 4 + 1}", domain, region, service, f"{service}-{i + 1}"))
    return profile, hosts


def wait_version(f, hosts, version, seconds=20):
    """Polls all daemons in parallel. Returns the seconds until each had the version, and the hosts still without it."""
    start = time.time()
    left, times = list(hosts), []
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        while left and time.time() < start + seconds:
            statuses = list(pool.map(lambda h: f.status(h), left))
            now = time.time() - start
            updated = [h for h, a in zip(left, statuses) if a and a["version"] >= version]
            times += [now] * len(updated)
            left = [h for h in left if h not in updated]
    return times, left


def control_bytes_sent(f, hosts):
    total = 0
    for h in hosts:
        text = fleet.fetch(f"{h.address}:8082/metrics")
        total += sum(int(float(line.split()[-1])) for line in text.splitlines()
                     if line.startswith("parsleyyard_control_sent_bytes_total "))
    return total


def daemon_cpu_seconds(f):
    return sum(fleet.cpu_seconds(p.pid) for n, p in f.processes.items() if n.startswith("daemon-"))


def measure_at_rate(f, hosts, changes_per_second, seconds):
    """Publishes configurations at a rate. Returns their number, CPU share and control bytes sent per daemon and second,
    store requests per second and bytes per second over the region link."""
    cpu, sent = daemon_cpu_seconds(f), control_bytes_sent(f, hosts)
    calls = json.loads(fleet.fetch(fleet.STORE_ADDRESS + "/admin/stats"))["calls"]
    link = sum(f.link_bytes().values())
    start, changes = time.time(), 0
    while time.time() - start < seconds:
        if changes_per_second:
            changes += 1
            f.publish_configuration(note=f"rate{changes_per_second}-{changes}".replace(".", "-"))
            time.sleep(max(0, start + changes / changes_per_second - time.time()))
        else:
            time.sleep(0.5)
    elapsed = time.time() - start
    after_calls = json.loads(fleet.fetch(fleet.STORE_ADDRESS + "/admin/stats"))["calls"]
    link = sum(f.link_bytes().values()) - link
    host_count = len(hosts)
    return (changes, f"{(daemon_cpu_seconds(f) - cpu) / elapsed / host_count * 100:.2f} %",
            f"{(control_bytes_sent(f, hosts) - sent) / elapsed / host_count:.0f}",
            f"{(after_calls - calls) / elapsed:.1f}", f"{link / elapsed:.0f}")


def convergence():
    profile, hosts = make_hosts(200)
    settings = {"process": {"workers": 1, "log_level": "warning"}}
    with fleet.Fleet(profile, OUT_DIR, hosts=hosts, settings=settings, upstreams=False) as f:
        started = f.wait_ready(seconds=90)
        rows, bytes_before = [], f.link_bytes()
        no_fault_times = []
        for i in range(10):
            version = f.publish_configuration(note=f"change-{i}")
            times, left = wait_version(f, hosts, version)
            no_fault_times.append(max(times) if not left else float("inf"))
        rows.append(["no fault", 10, f"{quantile(no_fault_times, 0.5):.2f}", f"{max(no_fault_times):.2f}"])
        fault_times = []
        for i in range(5):
            killed_hosts = hosts[i * 20:(i + 1) * 20]
            version = f.publish_configuration(note=f"fault-{i}")
            for h in killed_hosts:
                f.kill("daemon-" + h.address)
            survivors = [h for h in hosts if h not in killed_hosts]
            times, left = wait_version(f, survivors, version)
            fault_times.append(max(times) if not left else float("inf"))
            for h in killed_hosts:
                f.start_daemon(h)
            f.wait_ready(seconds=60)
        rows.append(["a tenth of the daemons killed during the update", 5, f"{quantile(fault_times, 0.5):.2f}",
                     f"{max(fault_times):.2f}"])
        load = [["idle"] + list(measure_at_rate(f, hosts, 0, 10)),
                ["0.6 changes/s"] + list(measure_at_rate(f, hosts, 0.6, 20)),
                ["6 changes/s"] + list(measure_at_rate(f, hosts, 6, 10))]
        memory = [fleet.resident_memory_kb(p.pid) for n, p in f.processes.items() if n.startswith("daemon-")]
        write_report("convergence", ["case", "n", "seconds until all 200 daemons have it, p50", "max"], rows, [
            f"200 daemon processes in 4 failure domains and 2 regions, joined by a link of 12 ms and 30 Mbit/s, on one "
            f"host with 8 cores. The times include polling the status of all 200 daemons (about 0.1 s per round). "
            f"Simultaneous first start: {started:.1f} s until all daemons admit calls.", "",
            "| load | changes | CPU per daemon | control bytes sent per daemon and second | store requests/s | "
            "bytes/s over the region link, both directions |", "|---|---|---|---|---|---|",
            *["| " + " | ".join(str(c) for c in row) + " |" for row in load], "",
            f"Resident memory per daemon: median {statistics.median(memory) / 1024:.1f} MB, "
            f"largest {max(memory) / 1024:.1f} MB."])


def measure_added_latency(profile, settings, rate, body, pick_entries, rounds=4, seconds=4):
    """Returns for each round the durations of direct calls and of concurrent calls through the daemons, in us."""
    with fleet.Fleet(profile, OUT_DIR, region_link=False, settings=settings) as f:
        f.wait_ready()
        time.sleep(4)
        mix = [f"1:order:1:-:POST:{profile['routes'][2]['prefix']}"]
        target = [h for h in f.hosts if h.service == list(profile["services"])[2]]
        entries = pick_entries(f, target)
        durations = []
        for i in range(rounds):
            f.start_callers(f"direct{i}", rate, seconds, 2 * i, mix=mix, hosts=target, port=9000, body_bytes=body,
                            want_bytes=body)
            f.start_callers(f"through{i}", rate, seconds, 2 * i + 1, mix=mix, hosts=entries, body_bytes=body,
                            want_bytes=body)
            f.join_callers(f"direct{i}")
            f.join_callers(f"through{i}")
            durations.append([[c.took_us for c in check.read_calls([f.out_dir / f"{path}{i}.calls"]) if c.status == 200]
                          for path in ("direct", "through")])
        return durations


def steal_share(before, after):
    return 100 * (after[7] - before[7]) / max(1, sum(after) - sum(before))


def cpu_times():
    return [int(x) for x in open("/proc/stat").readline().split()[1:9]]


def latency():
    profile = dict(fleet.FAROLITO, service_ms=0)
    rows = []
    settings = {"process": {"workers": 1, "log_level": "warning"}}
    target_daemons = lambda f, target: target  # noqa: E731
    other_daemons = lambda f, target: [h for h in f.hosts if h not in target]  # noqa: E731
    cases = [("same host (mostly one daemon per call)", target_daemons),
             ("other host (two daemons per call)", other_daemons)]
    cpu_before = cpu_times()
    for name, pick_entries in cases:
        for rate, body in ((50, 1024), (50, 65536), (500, 1024)):
            durations = measure_added_latency(profile, settings, rate, body, pick_entries)
            direct = [t for d, _ in durations for t in d]
            through = [t for _, w in durations for t in w]
            row = [name, rate, body // 1024, len(through)]
            for fraction in (0.5, 0.99, 0.999):
                row.append(f"{(quantile(through, fraction) - quantile(direct, fraction)) / 1000:.2f}")
            p99_by_round = sorted((quantile(w, 0.99) - quantile(d, 0.99)) / 1000 for d, w in durations)
            rows.append(row + [f"{p99_by_round[0]:.2f} to {p99_by_round[-1]:.2f}",
                               f"{quantile(direct, 0.99) / 1000:.2f}"])
    write_report("latency", ["path", "calls/s", "body KB each way", "n", "added ms p50", "added ms p99",
                             "added ms p99.9", "added ms p99 by round", "direct ms p99"], rows,
           ["Added time: the quantile of calls through the daemons minus the same quantile of concurrent direct calls, "
            "4 rounds of 4 s. 13 daemons, 13 upstreams and the callers share 8 cores; upstreams respond at once. "
            "Target: 1.3 ms at p99. A call that enters on the same host may still be placed elsewhere. "
            f"CPU time stolen by other virtual machines: {steal_share(cpu_before, cpu_times()):.1f} %."])


def count_unknown_reasons(f):
    """Lists the reasons that the daemons' metrics give for unknown outcomes. The verdict does not use them."""
    counts = {}
    for h in f.hosts:
        for line in fleet.fetch(f"{h.address}:8082/metrics").splitlines():
            if line.startswith("parsleyyard_calls_total") and 'outcome="unknown"' in line:
                reason = line.split('reason="')[1].split('"')[0]
                counts[reason] = counts.get(reason, 0) + int(line.split()[-1])
    return ", ".join(f"{n} {r}" for r, n in sorted(counts.items())) or "none"


def domain_move():
    rows, notes = [], []
    profile = fleet.FAROLITO
    classes = ["browse", "booking", "order"]
    for load in (60, 85, 110):
        with fleet.Fleet(profile, OUT_DIR, cold_ms=1000) as f:
            f.wait_ready()
            time.sleep(3)
            instances_left = sum(1 for h in f.hosts if h.domain != "mvd-a")
            # An instance can run slots / service time calls per second. The service with the least capacity for its
            # share of the mix limits the rate of all calls.
            per_instance = profile["slots"] / 0.020
            service_share = {"vitrina": 0.68, "agenda": 0.22, "pedidos": 0.10}
            max_rate = min(sum(1 for h in f.hosts if h.service == s and h.domain != "mvd-a") * per_instance / w
                           for s, w in service_share.items())
            rate = int(max_rate * load / 100 / 2)
            mix = ["68:browse:0:-:GET:/vitrina/", "22:booking:1:-:POST:/agenda/", "10:order:1:-:POST:/pedidos/"]
            start = int(time.time() * 1000)
            for half in (1, 2):
                f.start_callers(f"load{half}", rate, 24, half, mix=mix, work_ms=20)
            time.sleep(6)
            f.change_evacuation(out="mvd-a")
            time.sleep(8)
            f.change_evacuation(in_="mvd-a")
            f.join_callers("load1")
            f.join_callers("load2")
            verdict, calls = check.check_fleet(f)
            executions, _ = check.read_executions(f.out_dir.glob("*.exec"))
            out_at = f.evacuation_changes[0][0]
            back_at = f.evacuation_changes[1][0]
            last = max([e.start_ms - out_at for e in executions
                        if e.domain == "mvd-a" and out_at <= e.start_ms < back_at], default=0)
            for phase, lo, hi in (("before", start + 1000, out_at), ("evacuated", out_at, back_at),
                                  ("after", back_at, back_at + 8000)):
                phase_calls = [c for c in calls if lo <= c.start_ms < hi]
                row = [f"{load} %", 2 * rate, phase]
                for k in classes:
                    class_calls = [c for c in phase_calls if c.call_class == k]
                    good = sum(c.outcome == "answer" for c in class_calls)
                    row.append(f"{100 * good / max(1, len(class_calls)):.2f} %")
                answered = [c.took_us for c in phase_calls if c.outcome == "answer"]
                row += [f"{quantile(answered, 0.99) / 1000:.0f}",
                        sum(c.outcome in ("unknown", "broken") for c in phase_calls),
                        last if phase == "evacuated" else ""]
                rows.append(row)
            notes.append(f"- {load} %: {verdict.summary()}; {instances_left} of {len(f.hosts)} instances remain while "
                         f"mvd-a is evacuated. Reasons for unknown outcomes: {count_unknown_reasons(f)}.")
    write_report("domain-move", ["load of the remaining instances", "calls/s", "phase", "browse answered",
                                 "booking answered", "order answered", "p99 ms", "unknown",
                                 "last execution started in the domain, ms after the evacuation"], rows,
           ["Farolito's sizes, 20 ms of work per call, seeds 1 and 2; failure domain mvd-a is evacuated for 8 s. The "
            "load is in percent of the calls that the instances outside mvd-a can run.", ""] + notes)


def cold_start():
    rows = []
    for policy, warm_up_ms in (("configured warm-up as long as that of the upstream", 4000),
                               ("no configured warm-up", 0)):
        with fleet.Fleet(fleet.FAROLITO, OUT_DIR, cold_ms=4000) as f:
            if warm_up_ms == 0:
                f.cold_ms = 0
                f.publish_configuration()
                f.cold_ms = 4000
            f.wait_ready()
            time.sleep(6)
            f.start_callers("load", 900, 14, 5, mix=["1:order:1:-:POST:/pedidos/"], work_ms=20)
            time.sleep(3)
            killed_hosts = [h for h in f.hosts if h.service == "pedidos"][:2]
            for h in killed_hosts:
                f.kill("upstream-" + h.address)
            for h in killed_hosts:
                f.start_upstream(h)
            f.join_callers("load")
            verdict, calls = check.check_fleet(f)
            state = [fleet.fetch(f"{h.address}:9000/upstream/load").split() for h in killed_hosts]
            collapses = sum(int(s[7]) for s in state)
            shed = sum(int(s[5]) for s in state)
            rows.append([policy, len(calls), f"{100 * verdict.answered / verdict.calls:.2f} %", verdict.refused,
                         verdict.unknown, shed, collapses])
    write_report("cold-start", ["policy", "calls", "answered", "refused not-run", "unknown",
                                "shed by the cold upstreams", "collapses of the cold upstreams"], rows,
           ["2 of 4 instances of pedidos are killed and restarted cold under 900 calls/s of 20 ms. A cold instance can "
            "use a tenth of its 12 slots at first and all after 4 s; at more than twice its present capacity it "
            "collapses."])


def overload():
    rows = []
    profile = fleet.FAROLITO
    capacity = 5 * 12 / 0.020
    for factor in (0.5, 1, 3):
        with fleet.Fleet(profile, OUT_DIR) as f:
            f.wait_ready()
            time.sleep(3)
            mix = ["8:browse:0:-:GET:/vitrina/", "2:order:0:-:POST:/vitrina/"]
            routes = profile["routes"] + [{"name": "rush", "spec": {"prefix": "/rush/", "service": "vitrina",
                                                                    "kind": "non_idempotent"}}]
            f.profile = dict(profile, routes=routes)
            version = f.publish_configuration()
            f.wait_ready(version=version)
            mix = ["8:browse:0:-:GET:/vitrina/", "2:order:1:-:POST:/rush/"]
            rate = int(capacity * factor / 2)
            for half in (1, 2):
                f.start_callers(f"load{half}", rate, 10, half, mix=mix, work_ms=20)
            f.join_callers("load1")
            f.join_callers("load2")
            verdict, calls = check.check_fleet(f)
            row = [f"{factor:g}", 2 * rate]
            span = (max(c.end_ms for c in calls) - min(c.start_ms for c in calls)) / 1000
            row.append(f"{100 * verdict.answered / min(capacity * factor, capacity) / span:.0f} %")
            for k in ("browse", "order"):
                class_calls = [c for c in calls if c.call_class == k]
                row.append(f"{100 * sum(c.outcome == 'answer' for c in class_calls) / len(class_calls):.1f} %")
            answered = [c.took_us for c in calls if c.outcome == "answer"]
            rows.append(row + [f"{quantile(answered, 0.99) / 1000:.0f}", verdict.unknown,
                               "none" if verdict.is_good() else verdict.summary()])
    write_report("overload", ["load / capacity", "calls/s", "goodput / min(load, capacity)", "browse answered",
                              "order answered", "p99 ms", "unknown", "violations"], rows,
           ["Vitrina's 5 instances of 12 slots, 20 ms of work per call: capacity 3,000 calls/s. A fifth of the calls "
            "are of class order. The load is open-loop. Target at 3 times the capacity: goodput above 80 %."])


COMMANDS = {"convergence": convergence, "latency": latency, "domain-move": domain_move, "cold-start": cold_start,
            "overload": overload}

if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in COMMANDS:
        print(__doc__)
        sys.exit(2)
    COMMANDS[sys.argv[1]]()
