"""Checks the results that callers saw against the execution logs of the upstreams.

The counters of the daemons are not used.
"""

import collections
import pathlib

EVACUATION_GRACE_MS = 3000  # from the publication of an evacuation until no execution may start in the domain

# Line of a call log; see standins/callers.cc.
Call = collections.namedtuple("Call", "start_ms end_ms id call_class never_repeat home_region outcome status whole "
                                      "entry took_us")
# Start of an execution in the execution log of an upstream.
Execution = collections.namedtuple("Execution", "start_ms instance domain id method path")


# The counts of calls by result, and the violations:
#   wrong      the response is incomplete or of another call, states no outcome, or says "not run" of a call that ran
#   doubled    a call that must run at most once ran more often
#   lost       an answered call has no finished execution
#   misplaced  an execution in an evacuated failure domain or outside the call's home region
class Verdict:
    def __init__(self):
        self.calls = self.answered = self.refused = self.unknown = 0
        self.unknown_ids = []
        self.wrong, self.doubled, self.lost, self.misplaced = [], [], [], []

    def summary(self):
        return (f"{self.calls} calls, {self.answered} answered, {self.refused} refused not-run, "
                f"{self.unknown} unknown, {len(self.wrong)} wrong, {len(self.doubled)} doubled, "
                f"{len(self.lost)} lost, {len(self.misplaced)} misplaced")

    def is_good(self):
        return not (self.wrong or self.doubled or self.lost or self.misplaced)


def read_calls(paths):
    calls = []
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            fields = line.split()
            calls.append(Call(int(fields[0]), int(fields[1]), fields[2], fields[3], fields[4] == "1", fields[5],
                              fields[6], int(fields[7]), fields[8] == "1", fields[9], int(fields[10])))
    return calls


def read_executions(paths):
    executions, finished_ids = [], set()
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            fields = line.split()
            if fields[3] == "start":
                executions.append(Execution(int(fields[0]), fields[1], fields[2], fields[4], fields[5], fields[6]))
            elif fields[3] == "end":
                finished_ids.add(fields[4])
    return executions, finished_ids


def is_evacuated(evacuation_changes, domain, at_ms):
    """True if `domain` had been evacuated for longer than EVACUATION_GRACE_MS at that time.

    `evacuation_changes` lists (Unix time in ms, "out" or "in", failure domain) by time.
    """
    evacuated_since = None
    for changed_ms, direction, name in evacuation_changes:
        if name == domain and changed_ms <= at_ms:
            evacuated_since = changed_ms if direction == "out" else None
    return evacuated_since is not None and at_ms - evacuated_since > EVACUATION_GRACE_MS


def check_history(calls, executions, finished_ids, region_of, evacuation_changes):
    verdict = Verdict()
    executions_by_id = collections.defaultdict(list)
    for execution in executions:
        executions_by_id[execution.id].append(execution)
        if is_evacuated(evacuation_changes, execution.domain, execution.start_ms):
            verdict.misplaced.append(f"{execution.id} started in {execution.domain}, which was evacuated")
    for call in calls:
        verdict.calls += 1
        call_executions = executions_by_id.get(call.id, [])
        if call.never_repeat and len(call_executions) > 1:
            verdict.doubled.append(call.id)
        if call.home_region != "-" and any(region_of[e.domain] != call.home_region for e in call_executions):
            verdict.misplaced.append(f"{call.id} ran outside {call.home_region}")
        if call.outcome == "answer":
            verdict.answered += 1
            if not call.whole:
                verdict.wrong.append(f"{call.id}: the response is not complete or belongs to another call "
                                     f"(status {call.status})")
            if call.id not in finished_ids:
                verdict.lost.append(call.id)
        elif call.outcome in ("not_run", "not_connected"):
            verdict.refused += 1
            if call_executions:
                verdict.wrong.append(f"{call.id}: rejected as not run, but it ran on {call_executions[0].instance}")
        elif call.outcome in ("unknown", "broken"):
            verdict.unknown += 1
            verdict.unknown_ids.append(f"{call.id} at {call.entry} ({call.status}, {call.outcome})")
        else:
            verdict.wrong.append(f"{call.id}: the response states no outcome (status {call.status})")
    return verdict


def check_fleet(fleet):
    calls = read_calls(fleet.out_dir.glob("*.calls"))
    executions, finished_ids = read_executions(fleet.out_dir.glob("*.exec"))
    region_of = {d: r for r, ds in fleet.profile["regions"].items() for d in ds}
    return check_history(calls, executions, finished_ids, region_of, fleet.evacuation_changes), calls
