#!/usr/bin/env python3
"""All faults at once for a minute: kills, freezes, cuts, reordering, outages, operator races, planned stops."""

import argparse
import pathlib
import random
import signal
import sys
import time

import check
import fleet


class Storm:
    """Draws one fault after another; each is undone some draws later.

    A declaration that the daemons can't read can't be obeyed, so the faults that hide the platform do not begin
    while a declaration is fresh, and no domain is declared out while they last.
    """

    READ_BY_ALL_S = 4  # from a declaration until every daemon must know of it

    def __init__(self, f, seed):
        self.f = f
        self.random = random.Random(seed)
        self.undo = []
        self.touched = set()
        self.hiding = 0
        self.declared_at = 0.0

    def free_host(self):
        free = [h for h in self.f.hosts if h.address not in self.touched]
        host = self.random.choice(free)
        self.touched.add(host.address)
        return host

    def release(self, host):
        self.touched.discard(host.address)

    def start(self, kind, host):
        (self.f.start_daemon if kind == "daemon" else self.f.start_upstream)(host)
        self.release(host)

    def kill(self, kind):
        host = self.free_host()
        self.f.kill(f"{kind}-{host.address}")
        return lambda: self.start(kind, host)

    def freeze(self, kind):
        host = self.free_host()
        name = f"{kind}-{host.address}"
        self.f.signal(name, signal.SIGSTOP)
        return lambda: (self.f.signal(name, signal.SIGCONT), self.release(host))

    def kill_daemon(self):
        return self.kill("daemon")

    def kill_upstream(self):
        return self.kill("upstream")

    def freeze_daemon(self):
        return self.freeze("daemon")

    def freeze_upstream(self):
        return self.freeze("upstream")

    def stop_daemon(self):
        host = self.free_host()
        status = self.f.terminate("daemon-" + host.address)
        assert status == 0, f"exit status {status} of a planned stop"
        return lambda: self.start("daemon", host)

    def restart_upstream_cold(self):
        host = self.random.choice([h for h in self.f.hosts if h.address not in self.touched])
        fleet.fetch(f"{host.address}:9000/upstream/admin?restart=1")
        return lambda: None

    def hide(self, undo):
        self.hiding += 1

        def end():
            self.hiding -= 1
            undo()
        return end

    def cut_link(self):
        region = self.random.choice(["both", *self.f.profile["regions"]])
        self.f.cut_link(region)
        return self.hide(lambda: self.f.cut_link("none"))

    def reorder_link(self):
        self.f.reorder_link(80)
        return lambda: self.f.reorder_link(0)

    def platform_fault(self):
        self.f.fault(self.random.choice(["down", "silent", "slow"]))
        return self.hide(lambda: self.f.fault("none"))

    def move_domain(self):
        domain = self.random.choice([d for ds in self.f.profile["regions"].values() for d in ds])
        self.f.declare(out=domain)
        self.declared_at = time.time()
        return lambda: self.f.declare(in_=domain)

    def commit_twice(self):
        self.f.commit(note=f"storm {self.random.random()}")
        self.f.commit(note=f"storm {self.random.random()}")
        return lambda: None

    def step(self):
        if len(self.undo) >= 4:
            self.undo.pop(0)()
        faults = [self.kill_daemon, self.freeze_daemon, self.stop_daemon, self.kill_upstream, self.freeze_upstream,
                  self.restart_upstream_cold, self.reorder_link, self.commit_twice]
        if self.hiding == 0:
            faults.append(self.move_domain)
        if time.time() - self.declared_at > self.READ_BY_ALL_S:
            faults += [self.cut_link, self.platform_fault]
        chosen = self.random.choice(faults)
        print(f"storm: {chosen.__name__.replace('_', ' ')}", flush=True)
        self.undo.append(chosen())

    def end(self):
        for undo in self.undo:
            undo()


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("profile", nargs="?", default="farolito", choices=sorted(fleet.PROFILES))
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seconds", type=float, default=60)
    given = options.parse_args()
    profile = fleet.PROFILES[given.profile]
    with fleet.Fleet(profile, pathlib.Path(fleet.ROOT / "out/storm"), cold_ms=1000,
                     settings={"process": {"log_level": "warning"}}) as f:
        f.wait_ready()
        f.callers("load", rate=200, seconds=given.seconds + 6, seed=given.seed)
        storm = Storm(f, given.seed)
        end = time.time() + given.seconds
        while time.time() < end:
            storm.step()
            time.sleep(storm.random.uniform(0.3, 1.5))
        storm.end()
        version = f.commit(note="after the storm")
        took = f.wait_ready(version=version)
        f.join_callers("load")
        verdict, _ = check.check_fleet(f)
    for problem in verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced:
        print("storm: problem: " + problem)
    print(f"storm: version {version} in force everywhere {took:.2f} s after the last commit")
    print("storm: " + verdict.line())
    return 0 if verdict.good() and verdict.answered else 1


if __name__ == "__main__":
    sys.exit(main())
