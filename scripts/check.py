"""Checks what callers saw against the upstreams' execution logs.

Nothing here comes from the daemons' own counters.
"""

import collections
import pathlib

OUT_GRACE_MS = 3000  # from a declaration until no new work may start in the domain

Call = collections.namedtuple("Call", "start end id cls never home outcome status whole entry took_us")
Run = collections.namedtuple("Run", "at instance domain id method path")


class Verdict:
    def __init__(self):
        self.calls = self.answered = self.refused = self.unknown = 0
        self.wrong, self.doubled, self.lost, self.misplaced = [], [], [], []

    def line(self):
        return (f"{self.calls} calls, {self.answered} answered, {self.refused} refused not-run, "
                f"{self.unknown} unknown, {len(self.wrong)} wrong, {len(self.doubled)} doubled, "
                f"{len(self.lost)} lost, {len(self.misplaced)} misplaced")

    def good(self):
        return not (self.wrong or self.doubled or self.lost or self.misplaced)


def read_calls(paths):
    calls = []
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            f = line.split()
            calls.append(Call(int(f[0]), int(f[1]), f[2], f[3], f[4] == "1", f[5], f[6], int(f[7]), f[8] == "1",
                              f[9], int(f[10])))
    return calls


def read_runs(paths):
    runs, ends = [], set()
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            f = line.split()
            if f[3] == "start":
                runs.append(Run(int(f[0]), f[1], f[2], f[4], f[5], f[6]))
            elif f[3] == "end":
                ends.add(f[4])
    return runs, ends


def is_out(declared, domain, at):
    """True if `domain` had been out for longer than the grace at that time."""
    out_since = None
    for when, way, name in declared:
        if name == domain and when <= at:
            out_since = when if way == "out" else None
    return out_since is not None and at - out_since > OUT_GRACE_MS


def check(calls, runs, ends, region_of, declared):
    verdict = Verdict()
    by_id = collections.defaultdict(list)
    for run in runs:
        by_id[run.id].append(run)
        if is_out(declared, run.domain, run.at):
            verdict.misplaced.append(f"{run.id} began in {run.domain}, which was out")
    for call in calls:
        verdict.calls += 1
        ran = by_id.get(call.id, [])
        if call.never and len(ran) > 1:
            verdict.doubled.append(call.id)
        if call.home != "-" and any(region_of[r.domain] != call.home for r in ran):
            verdict.misplaced.append(f"{call.id} ran outside {call.home}")
        if call.outcome == "answer":
            verdict.answered += 1
            if not call.whole:
                verdict.wrong.append(f"{call.id}: not its own whole answer (status {call.status})")
            if call.id not in ends:
                verdict.lost.append(call.id)
        elif call.outcome in ("not_run", "not_connected"):
            verdict.refused += 1
            if ran:
                verdict.wrong.append(f"{call.id}: refused as not run, yet it ran on {ran[0].instance}")
        elif call.outcome in ("unknown", "broken"):
            verdict.unknown += 1
        else:
            verdict.wrong.append(f"{call.id}: no outcome (status {call.status})")
    return verdict


def check_fleet(fleet):
    calls = read_calls(fleet.out.glob("*.calls"))
    runs, ends = read_runs(fleet.out.glob("*.exec"))
    region_of = {d: r for r, ds in fleet.profile["regions"].items() for d in ds}
    return check(calls, runs, ends, region_of, fleet.declared), calls
