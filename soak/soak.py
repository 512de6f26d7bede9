#!/usr/bin/env python3
"""The fault soak: the real programs as processes on loopback, with overlapping faults from outside them.

The plan is drawn from the seed alone, before anything starts. What callers and upstreams saw is checked at the end
(scripts/check.py). On a failure the plan, the seed and all logs stay in out/soak/seed-N, and `parsleyyard explain`
of the first request that went wrong is printed.
"""

import argparse
import collections
import random
import re
import shutil
import signal
import subprocess
import sys
import time
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import check  # noqa: E402
import fleet  # noqa: E402

# Seeds that ever failed stay here, each with a line on the cause.
REGRESSION_SEEDS = {}

READ_BY_ALL_S = 4.0  # from a declaration until every daemon must know of it
SHORTEST_GAP_S, LONGEST_GAP_S = 0.2, 1.2  # between two faults
SHORTEST_FAULT_S, LONGEST_FAULT_S = 0.5, 4.0
MOST_HOSTS_AT_ONCE = 0.3  # part of the hosts that faults touch at the same time

Step = collections.namedtuple("Step", "at what args")


class Plan:
    """Faults and their ends, in order of time. The store is not hidden from daemons while a declaration is fresh, and
    nothing is declared while it is hidden: what nobody can read nobody can obey."""

    def __init__(self, seed, hosts, domains, regions, seconds):
        self.random = random.Random(seed)
        self.hosts, self.domains, self.regions = hosts, domains, regions
        self.busy = {}  # host: until then
        self.hidden_until = self.declared_at = -READ_BY_ALL_S
        self.out = {}  # domain: until then
        self.steps = []
        at = 1.0
        while at < seconds:
            self.draw(at)
            at += self.random.uniform(SHORTEST_GAP_S, LONGEST_GAP_S)
        self.steps.sort(key=lambda step: step.at)

    def add(self, at, what, *args):
        self.steps.append(Step(round(at, 3), what, args))

    def draw(self, at):
        length = self.random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        kinds = ["kill", "freeze", "stop", "hangup", "restart_cold", "reorder", "commit"]
        if at > self.hidden_until:
            kinds.append("declare")
        if at - self.declared_at > READ_BY_ALL_S:
            kinds += ["cut", "store"]
        getattr(self, "draw_" + self.random.choice(kinds))(at, length)

    def host(self, at, length):
        """A host that no fault touches; None if too many are touched."""
        free = [i for i in range(self.hosts) if self.busy.get(i, 0) < at]
        if self.hosts - len(free) >= MOST_HOSTS_AT_ONCE * self.hosts:
            return None
        chosen = self.random.choice(free)
        self.busy[chosen] = at + length + 1
        return chosen

    def on_host(self, at, length, begin, end, kinds=("daemon", "upstream")):
        kind = self.random.choice(kinds)
        host = self.host(at, length)
        if host is not None:
            self.add(at, begin, kind, host)
            self.add(at + length, end, kind, host)

    def draw_kill(self, at, length):
        self.on_host(at, length, "kill", "start")

    def draw_freeze(self, at, length):
        self.on_host(at, length, "freeze", "thaw")

    def draw_stop(self, at, length):
        self.on_host(at, length + 6, "stop", "start_stopped", kinds=("daemon",))

    def draw_hangup(self, at, _length):
        self.on_host(at, 0.1, "hangup", "hangup", kinds=("daemon",))

    def draw_restart_cold(self, at, length):
        self.on_host(at, length, "restart_cold", "nothing", kinds=("upstream",))

    def draw_reorder(self, at, length):
        self.add(at, "reorder", 80)
        self.add(at + length, "reorder", 0)

    def draw_commit(self, at, _length):
        for i in range(self.random.randint(1, 4)):
            self.add(at + 0.2 * i, "commit", f"soak-{at:.1f}-{i}")

    def draw_declare(self, at, length):
        domain = self.random.choice(self.domains)
        if self.out.get(domain, 0) < at:
            self.out[domain] = at + length + READ_BY_ALL_S
            self.declared_at = at + length + READ_BY_ALL_S
            self.add(at, "declare_out", domain)
            self.add(self.declared_at, "declare_in", domain)

    def hide(self, at, length):
        self.hidden_until = max(self.hidden_until, at + length)

    def draw_cut(self, at, length):
        self.hide(at, length)
        self.add(at, "cut", self.random.choice(["both", *self.regions]))
        self.add(at + length, "cut", "none")

    def draw_store(self, at, length):
        self.hide(at, length)
        self.add(at, "store", self.random.choice(["down", "silent", "slow"]))
        self.add(at + length, "store", "none")


class Runner:
    """Carries out the steps of a plan on a fleet."""

    def __init__(self, f):
        self.f = f
        self.stopping = {}  # host: its process

    def carry_out(self, step):
        getattr(self, step.what)(*step.args)

    def name(self, kind, host):
        return f"{kind}-{self.f.hosts[host].address}"

    def start(self, kind, host):
        (self.f.start_daemon if kind == "daemon" else self.f.start_upstream)(self.f.hosts[host])

    def kill(self, kind, host):
        self.f.kill(self.name(kind, host))

    def freeze(self, kind, host):
        self.f.signal(self.name(kind, host), signal.SIGSTOP)

    def thaw(self, kind, host):
        self.f.signal(self.name(kind, host), signal.SIGCONT)

    def hangup(self, kind, host):
        self.f.signal(self.name(kind, host), signal.SIGHUP)

    def stop(self, kind, host):
        process = self.f.processes.pop(self.name(kind, host))
        process.terminate()
        self.stopping[host] = process

    def start_stopped(self, kind, host):
        status = self.stopping.pop(host).wait(20)
        if status != 0:
            raise RuntimeError(f"{self.name(kind, host)}: exit status {status} of a planned stop")
        self.start(kind, host)

    def restart_cold(self, _kind, host):
        fleet.fetch(f"{self.f.hosts[host].address}:9000/upstream/admin?restart=1")

    def nothing(self, *_args):
        pass

    def reorder(self, longest_ms):
        self.f.reorder_link(longest_ms)

    def commit(self, note):
        self.f.commit(note=note)

    def declare_out(self, domain):
        self.f.declare(out=domain)

    def declare_in(self, domain):
        self.f.declare(in_=domain)

    def cut(self, what):
        self.f.cut_link(what)

    def store(self, mode):
        self.f.fault(mode)


def explain(f, problems):
    """Prints the story of the first request that a problem names."""
    found = re.match(r"[\w-]+", problems[0])
    logs = [str(path) for path in sorted(f.out.glob("daemon-*.log"))]
    done = subprocess.run([f.build / "parsleyyard", "explain", found.group(), *logs], capture_output=True, text=True)
    print(done.stdout)


def run_seed(seed, profile, seconds, rate, build):
    hosts = fleet.place_hosts(profile)
    domains = [d for ds in profile["regions"].values() for d in ds]
    plan = Plan(seed, len(hosts), domains, list(profile["regions"]), seconds)
    out = ROOT / "out/soak" / f"seed-{seed}"
    with fleet.Fleet(profile, out, build=build, cold_ms=1000, hosts=hosts,
                     settings={"process": {"log_good_calls": 1000}}) as f:
        (out / "plan.txt").write_text("".join(f"{step.at} {step.what} {step.args}\n" for step in plan.steps))
        f.wait_ready()
        last = max(step.at for step in plan.steps)
        f.callers("load", rate=rate, seconds=last + 4, seed=seed)
        runner, began = Runner(f), time.time()
        for step in plan.steps:
            time.sleep(max(0, began + step.at - time.time()))
            runner.carry_out(step)
        f.wait_ready(version=f.commit(note="after the faults"))
        f.join_callers("load", 300)
        verdict, _ = check.check_fleet(f)
        problems = verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced
        print(f"soak: seed {seed}, {len(plan.steps)} steps: {verdict.line()}", flush=True)
        for problem in problems:
            print("soak: problem: " + problem)
        if problems:
            explain(f, problems)
            print(f"soak: plan and logs are kept in {out.relative_to(ROOT)}")
    good = not problems and verdict.answered > 0
    if good:
        shutil.rmtree(out)
    return good


def sized(profile, processes):
    """The profile with so many instances that their daemons, upstreams and the rest make that many processes."""
    base = sum(profile["services"].values())
    factor = max(1, processes // (2 * base))
    return {**profile, "services": {name: count * factor for name, count in profile["services"].items()}}


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--profile", default="farolito", choices=sorted(fleet.PROFILES))
    options.add_argument("--seed", type=int, default=1, help="the first seed")
    options.add_argument("--seeds", type=int, default=1, help="how many")
    options.add_argument("--minutes", type=float, default=0.5, help="of each")
    options.add_argument("--processes", type=int, default=30, help="of the fleet, about")
    options.add_argument("--build", default=ROOT / "build", type=pathlib.Path, help="folder of the programs")
    options.add_argument("--rate", type=int, default=200, help="calls a second")
    given = options.parse_args()
    profile = sized(fleet.PROFILES[given.profile], given.processes)
    failed = [seed for seed in range(given.seed, given.seed + given.seeds)
              if not run_seed(seed, profile, 60 * given.minutes, given.rate, given.build)]
    print(f"soak: {given.seeds - len(failed)} seeds passed, {len(failed)} failed{': ' + str(failed) if failed else ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
