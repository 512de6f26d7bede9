#!/usr/bin/env python3
"""Fault soak: runs a fleet of real processes on loopback addresses and injects overlapping faults.

The fault plan depends on the seed alone and is made before any process starts. At the end, scripts/check.py compares
what the callers saw with the execution logs of the upstreams. After a failure the plan and all logs stay in
out/soak/seed-N, and the output of `parsleyyard explain` for the first wrong call is printed.
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

# Seeds that failed once, each with its cause. Every soak runs them first. Entries are never removed.
REGRESSION_SEEDS = {}

EVACUATION_READ_LIMIT_S = 4.0  # within it, every daemon must have read an evacuation or its end
MIN_GAP_S, MAX_GAP_S = 0.2, 1.2  # between the starts of two faults
MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 1.0, 6.0  # of the copy from which the store is restored
MIN_WRITE_AGAIN_S, MAX_WRITE_AGAIN_S = 0.5, 2.0  # from a restore until the operator writes again
MAX_FAULTY_HOST_SHARE = 0.3  # of all hosts, at the same time

Step = collections.namedtuple("Step", "at action args")


class Plan:
    """The faults and their ends, ordered by time.

    A daemon can follow an evacuation only after it has read it. So the store stays reachable until
    EVACUATION_READ_LIMIT_S after each evacuation and each end of one, and no evacuation starts while the store is
    unreachable, or while a restore can still take it back.
    """

    def __init__(self, seed, host_count, domains, regions, seconds):
        self.random = random.Random(seed)
        self.host_count, self.domains, self.regions = host_count, domains, regions
        self.busy_until = {}  # by host index: no other fault before then
        self.store_unreachable_until = self.last_evacuation_change_at = -EVACUATION_READ_LIMIT_S
        self.evacuated_until = {}  # by failure domain
        self.steps = []
        at = 1.0
        while at < seconds:
            self.draw_fault(at)
            at += self.random.uniform(MIN_GAP_S, MAX_GAP_S)
        self.steps.sort(key=lambda step: step.at)

    def add(self, at, action, *args):
        self.steps.append(Step(round(at, 3), action, args))

    def draw_fault(self, at):
        fault_s = self.random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        fault_kinds = ["kill", "freeze", "stop", "hangup", "restart_cold", "reorder", "commit"]
        is_store_reachable = at > self.store_unreachable_until
        if is_store_reachable:
            fault_kinds.append("declare")
        if at - self.last_evacuation_change_at > EVACUATION_READ_LIMIT_S:
            fault_kinds += ["cut", "store"]
            if is_store_reachable:
                fault_kinds.append("restore")
        getattr(self, "draw_" + self.random.choice(fault_kinds))(at, fault_s)

    def pick_host(self, at, fault_s):
        """Reserves and returns a host without a fault; None if too many hosts have one."""
        unaffected = [i for i in range(self.host_count) if self.busy_until.get(i, 0) < at]
        if self.host_count - len(unaffected) >= MAX_FAULTY_HOST_SHARE * self.host_count:
            return None
        host = self.random.choice(unaffected)
        self.busy_until[host] = at + fault_s + 1
        return host

    def add_host_fault(self, at, fault_s, begin, end, programs=("daemon", "upstream")):
        program = self.random.choice(programs)
        host = self.pick_host(at, fault_s)
        if host is not None:
            self.add(at, begin, program, host)
            self.add(at + fault_s, end, program, host)

    def draw_kill(self, at, fault_s):
        self.add_host_fault(at, fault_s, "kill", "start")

    def draw_freeze(self, at, fault_s):
        self.add_host_fault(at, fault_s, "freeze", "thaw")

    def draw_stop(self, at, fault_s):
        self.add_host_fault(at, fault_s + 6, "stop", "start_stopped", programs=("daemon",))

    def draw_hangup(self, at, _fault_s):
        self.add_host_fault(at, 0.1, "hangup", "hangup", programs=("daemon",))

    def draw_restart_cold(self, at, fault_s):
        self.add_host_fault(at, fault_s, "restart_cold", "nothing", programs=("upstream",))

    def draw_reorder(self, at, fault_s):
        self.add(at, "reorder", 80)
        self.add(at + fault_s, "reorder", 0)

    def draw_commit(self, at, _fault_s):
        for i in range(self.random.randint(1, 4)):
            self.add(at + 0.2 * i, "commit", f"soak-{at:.1f}-{i}")

    def draw_declare(self, at, fault_s):
        domain = self.random.choice(self.domains)
        if self.evacuated_until.get(domain, 0) < at:
            self.evacuated_until[domain] = at + fault_s + EVACUATION_READ_LIMIT_S
            self.last_evacuation_change_at = at + fault_s + EVACUATION_READ_LIMIT_S
            self.add(at, "declare_out", domain)
            self.add(self.last_evacuation_change_at, "declare_in", domain)

    def mark_store_unreachable(self, at, fault_s):
        self.store_unreachable_until = max(self.store_unreachable_until, at + fault_s)

    def draw_cut(self, at, fault_s):
        self.mark_store_unreachable(at, fault_s)
        self.add(at, "cut", self.random.choice(["both", *self.regions]))
        self.add(at + fault_s, "cut", "none")

    def draw_store(self, at, fault_s):
        self.mark_store_unreachable(at, fault_s)
        self.add(at, "store", self.random.choice(["down", "silent", "slow"]))
        self.add(at + fault_s, "store", "none")

    def draw_restore(self, at, fault_s):
        """The store loses a configuration with a restore from an older copy; the operator writes it again."""
        away_at = at + self.random.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        restored_at = away_at + fault_s
        written_at = restored_at + self.random.uniform(MIN_WRITE_AGAIN_S, MAX_WRITE_AGAIN_S)
        self.mark_store_unreachable(at, written_at - at)
        self.add(at, "copy")
        self.add(self.random.uniform(at, away_at), "commit", f"soak-{at:.1f}-lost")
        self.add(away_at, "store", "down")
        self.add(restored_at, "restore")
        self.add(restored_at, "store", "none")
        self.add(written_at, "write_again")


class Runner:
    """Executes the steps of a plan on a fleet. The methods are named after the actions."""

    def __init__(self, f):
        self.fleet = f
        self.stopping = {}  # by host index: the daemon process after SIGTERM

    def execute(self, step):
        getattr(self, step.action)(*step.args)

    def process_name(self, program, host):
        return f"{program}-{self.fleet.hosts[host].address}"

    def start(self, program, host):
        (self.fleet.start_daemon if program == "daemon" else self.fleet.start_upstream)(self.fleet.hosts[host])

    def kill(self, program, host):
        self.fleet.kill(self.process_name(program, host))

    def freeze(self, program, host):
        self.fleet.send_signal(self.process_name(program, host), signal.SIGSTOP)

    def thaw(self, program, host):
        self.fleet.send_signal(self.process_name(program, host), signal.SIGCONT)

    def hangup(self, program, host):
        self.fleet.send_signal(self.process_name(program, host), signal.SIGHUP)

    def stop(self, program, host):
        process = self.fleet.processes.pop(self.process_name(program, host))
        process.terminate()
        self.stopping[host] = process

    def start_stopped(self, program, host):
        status = self.stopping.pop(host).wait(20)
        if status != 0:
            raise RuntimeError(f"{self.process_name(program, host)}: exit status {status} after a planned stop")
        self.start(program, host)

    def restart_cold(self, _program, host):
        fleet.fetch(f"{self.fleet.hosts[host].address}:9000/upstream/admin?restart=1")

    def nothing(self, *_args):
        pass

    def reorder(self, max_extra_ms):
        self.fleet.reorder_link(max_extra_ms)

    def commit(self, note):
        self.fleet.publish_configuration(note=note)

    def declare_out(self, domain):
        self.fleet.change_evacuation(out=domain)

    def declare_in(self, domain):
        self.fleet.change_evacuation(in_=domain)

    def cut(self, direction):
        self.fleet.cut_link(direction)

    def store(self, mode):
        self.fleet.set_store_fault(mode)

    def copy(self):
        self.fleet.copy_store()

    def restore(self):
        self.fleet.restore_store()

    def write_again(self):
        self.fleet.write_again()


def explain(f, problems):
    """Prints the output of `parsleyyard explain` for the call that the first problem names."""
    first_id = re.match(r"[\w-]+", problems[0])
    logs = [str(path) for path in sorted(f.out_dir.glob("daemon-*.log"))]
    completed = subprocess.run([f.build / "parsleyyard", "explain", first_id.group(), *logs],
                               capture_output=True, text=True)
    print(completed.stdout)


def run_seed(seed, profile, seconds, rate, build):
    hosts = fleet.place_hosts(profile)
    domains = [d for ds in profile["regions"].values() for d in ds]
    plan = Plan(seed, len(hosts), domains, list(profile["regions"]), seconds)
    out = ROOT / "out/soak" / f"seed-{seed}"
    with fleet.Fleet(profile, out, build=build, cold_ms=1000, hosts=hosts,
                     settings={"process": {"log_good_calls": 1000}}) as f:
        (out / "plan.txt").write_text("".join(f"{step.at} {step.action} {step.args}\n" for step in plan.steps))
        f.wait_ready()
        last = max(step.at for step in plan.steps)
        f.start_callers("load", rate=rate, seconds=last + 4, seed=seed)
        runner, start_time = Runner(f), time.time()
        for step in plan.steps:
            time.sleep(max(0, start_time + step.at - time.time()))
            runner.execute(step)
        f.wait_ready(version=f.publish_configuration(note="after the faults"))
        f.join_callers("load", 300)
        verdict, _ = check.check_fleet(f)
        problems = verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced
        print(f"soak: seed {seed}, {len(plan.steps)} steps: {verdict.summary()}", flush=True)
        for problem in problems:
            print("soak: problem: " + problem)
        if problems:
            explain(f, problems)
            print(f"soak: plan and logs are kept in {out.relative_to(ROOT)}")
    good = not problems and verdict.answered > 0
    if good:
        shutil.rmtree(out)
    return good


def scale_profile(profile, processes):
    """Multiplies the instances of each service so that daemons and upstreams are about that many processes."""
    base = sum(profile["services"].values())
    factor = max(1, processes // (2 * base))
    return {**profile, "services": {name: count * factor for name, count in profile["services"].items()}}


def seeds_to_run(first, count):
    """The seeds that failed once, and `count` seeds from `first` on."""
    return list(dict.fromkeys([*REGRESSION_SEEDS, *range(first, first + count)]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", default="farolito", choices=sorted(fleet.PROFILES))
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, default=0.5, help="minutes per seed")
    parser.add_argument("--processes", type=int, default=30, help="approximate number of processes")
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path, help="directory of the programs")
    parser.add_argument("--rate", type=int, default=200, help="calls per second")
    arguments = parser.parse_args()
    profile = scale_profile(fleet.PROFILES[arguments.profile], arguments.processes)
    seeds = seeds_to_run(arguments.seed, arguments.seeds)
    failed = [seed for seed in seeds
              if not run_seed(seed, profile, 60 * arguments.minutes, arguments.rate, arguments.build)]
    print(f"soak: {len(seeds) - len(failed)} seeds passed, "
          f"{len(failed)} failed{': ' + str(failed) if failed else ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
