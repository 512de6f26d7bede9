#!/usr/bin/env python3
"""The demo: a day's troubles of one fleet within half a minute."""

import sys
import time

import check
import fleet


def say(text):
    print(f"demo: {text}", flush=True)


def main():
    profile = fleet.PROFILES[sys.argv[1] if len(sys.argv) > 1 else "farolito"]
    domains = [d for ds in profile["regions"].values() for d in ds]
    with fleet.Fleet(profile, fleet.ROOT / "out/demo", cold_ms=2000) as f:
        say(f"{len(f.hosts)} daemons in {len(domains)} failure domains started")
        say(f"all serve after {f.wait_ready():.1f} s")
        f.callers("load", rate=150, seconds=24, seed=7)
        time.sleep(3)
        version = f.commit(note="second")
        say(f"version {version} in force everywhere after {f.wait_ready(version=version):.2f} s")
        time.sleep(2)
        say(f"failure domain {domains[1]} declared out")
        f.declare(out=domains[1])
        time.sleep(6)
        say(f"failure domain {domains[1]} brought back")
        f.declare(in_=domains[1])
        time.sleep(2)
        victim = f.hosts[0]
        say(f"daemon on {victim.address} killed")
        f.kill("daemon-" + victim.address)
        time.sleep(2)
        f.start_daemon(victim)
        say(f"daemon on {victim.address} serves again after {f.wait_ready(hosts=[victim]):.1f} s")
        other = f.hosts[-1]
        say(f"upstream {other.instance} restarts cold without notice")
        fleet.fetch(f"{other.address}:9000/upstream/admin?restart=1")
        f.join_callers("load")
        verdict, _ = check.check_fleet(f)
    for problem in verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced:
        say("problem: " + problem)
    print("demo: " + verdict.line())
    return 0 if verdict.good() and verdict.answered else 1


if __name__ == "__main__":
    sys.exit(main())
