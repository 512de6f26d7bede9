#!/usr/bin/env python3
"""Demo: shows how a fleet handles common faults within half a minute."""

import sys
import time

import check
import fleet


def log(text):
    print(f"demo: {text}", flush=True)


def main():
    profile = fleet.PROFILES[sys.argv[1] if len(sys.argv) > 1 else "farolito"]
    domains = [d for ds in profile["regions"].values() for d in ds]
    with fleet.Fleet(profile, fleet.ROOT / "out/demo", cold_ms=2000) as f:
        log(f"{len(f.hosts)} daemons in {len(domains)} failure domains started")
        log(f"all daemons admit calls after {f.wait_ready():.1f} s")
        f.start_callers("load", rate=150, seconds=24, seed=7)
        time.sleep(3)
        version = f.publish_configuration(note="second")
        log(f"version {version} in force on all daemons after {f.wait_ready(version=version):.2f} s")
        time.sleep(2)
        log(f"failure domain {domains[1]} evacuated")
        f.change_evacuation(out=domains[1])
        time.sleep(6)
        log(f"failure domain {domains[1]} is back in service")
        f.change_evacuation(in_=domains[1])
        time.sleep(2)
        killed_host = f.hosts[0]
        log(f"daemon on {killed_host.address} killed")
        f.kill("daemon-" + killed_host.address)
        time.sleep(2)
        f.start_daemon(killed_host)
        log(f"daemon on {killed_host.address} admits calls again after {f.wait_ready(hosts=[killed_host]):.1f} s")
        cold_host = f.hosts[-1]
        log(f"upstream {cold_host.instance} restarts cold without draining")
        fleet.fetch(f"{cold_host.address}:9000/upstream/admin?restart=1")
        f.join_callers("load")
        verdict, _ = check.check_fleet(f)
    for problem in verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced:
        log("problem: " + problem)
    print("demo: " + verdict.summary())
    return 0 if verdict.is_good() and verdict.answered else 1


if __name__ == "__main__":
    sys.exit(main())
