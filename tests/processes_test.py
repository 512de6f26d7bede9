#!/usr/bin/env python3
"""Tests with real processes and signals. They check the call and execution logs and measure no times."""

import itertools
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import check  # noqa: E402
import fleet  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1) if len(sys.argv) > 1 else ROOT / "build")
# Calls are logged, so that the logs of a failed test show its cause.
SETTINGS = {"process": {"log_level": "info", "log_good_calls": 100}, "calls": {"drain_notice": 300}}
QUIET_SETTINGS = {**SETTINGS, "process": {"log_level": "warning"}}


class ProcessesCase(unittest.TestCase):
    def fleet(self, profile=fleet.FAROLITO, settings=SETTINGS, **options):
        return fleet.Fleet(profile, ROOT / "out/test", build=BUILD, settings=settings,
                           kept_dir=ROOT / "out/failed", **options)

    def assert_valid_history(self, f, max_unknown=None):
        verdict, _ = check.check_fleet(f)
        problems = verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced
        self.assertEqual(problems, [], verdict.summary())
        self.assertGreater(verdict.answered, 0)
        if max_unknown is not None:
            self.assertLessEqual(verdict.unknown, max_unknown, f"{verdict.summary()}: {verdict.unknown_ids[:20]}")
        return verdict


class RollingStopTest(ProcessesCase):
    def test_rolling_stop_of_daemons_and_upstreams_loses_no_call(self):
        with self.fleet() as f:
            f.wait_ready()
            f.start_callers("load", 200, 50, 1)
            for host in f.hosts:
                self.assertEqual(f.terminate("daemon-" + host.address), 0)
                f.start_daemon(host)
                f.wait_ready(hosts=[host])
            for host in f.hosts[:4]:
                self.assertEqual(f.terminate("upstream-" + host.address), 0)
                f.start_upstream(host)
            f.join_callers("load")
            self.assert_valid_history(f, max_unknown=0)


class PlannedStopTest(ProcessesCase):
    """The stop of one daemon, under the grace time of the platform."""

    def settings_for_grace(self, grace_s):
        return {**SETTINGS, "platform": {"bounds": f"drain-ms=2000,grace-s={grace_s}"}}

    def events(self, f, host, name):
        lines = (f.out_dir / f"daemon-{host.address}.log").read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == name]

    def wait_until(self, condition, seconds=30):
        deadline = time.time() + seconds
        while not condition():
            self.assertLess(time.time(), deadline)
            time.sleep(0.02)

    def has_runs(self, f, host):
        status = f.status(host)
        return status is not None and status["upstream"]["running"] > 0

    def test_grace_time_of_a_reload_counts(self):
        with self.fleet(settings=self.settings_for_grace(10)) as f:
            f.wait_ready()
            first, second = f.hosts[:2]
            f.settings = self.settings_for_grace(2)
            f.write_settings(first)
            f.send_signal("daemon-" + first.address, signal.SIGHUP)
            self.wait_until(lambda: self.events(f, first, "settings reloaded"))
            for host, grace_ms in ((first, 2000), (second, 10000)):
                self.assertEqual(f.terminate("daemon-" + host.address), 0)
                self.assertEqual([line["grace_ms"] for line in self.events(f, host, "stopping")], [grace_ms])
                self.assertEqual([line["because"] for line in self.events(f, host, "calls ended before stop")], ["idle"])

    def test_calls_that_are_cut_off_are_counted(self):
        with self.fleet(profile={**fleet.FAROLITO, "service_ms": 1500}, settings=self.settings_for_grace(1)) as f:
            f.wait_ready()
            f.start_callers("load", 100, 30, 9)
            host = f.hosts[0]
            self.wait_until(lambda: self.has_runs(f, host))
            self.assertEqual(f.terminate("daemon-" + host.address), 0)
            [line] = self.events(f, host, "calls cut off by stop")
            self.assertEqual(line["because"], "timeout")
            self.assertGreater(line["callers_calls"] + line["instance_runs"], 0)


    def book(self, host, attempt, answers):
        """Sends a call that may not be repeated; notes its status and outcome, or that the connection was closed."""
        request = urllib.request.Request(f"http://{host.address}:8080/agenda/x", data=b"slot", method="POST",
                                         headers={"Host": fleet.VIRTUAL_HOST, "Attempt-Id": attempt})
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                answers[attempt] = (response.status, "answer")
        except urllib.error.HTTPError as error:
            answers[attempt] = (error.code, error.headers["x-parsleyyard-outcome"])
        except OSError as error:
            answers[attempt] = (0, repr(error))

    def test_calls_that_wait_at_another_daemon_are_answered(self):
        """Guards against connections closed without an answer at the end of a stop, whose calls run later (review/2)."""
        slow = {**fleet.FAROLITO, "regions": {"montevideo": ["mvd-a"]}, "services": {"vitrina": 1, "agenda": 1},
                "slots": 1, "service_ms": 1000,
                "routes": [{"name": "slots", "spec": {"prefix": "/agenda/", "service": "agenda", "kind": "non_idempotent",
                                                      "timeout-ms": 20000, "target-latency-ms": 18000}}]}
        with self.fleet(profile=slow, settings=self.settings_for_grace(3), region_link=False) as f:
            f.wait_ready()
            stopping, other = f.hosts
            answers, threads = {}, []
            for i, host in enumerate([other] * 4 + [stopping] * 4):
                threads.append(threading.Thread(target=self.book, args=(host, f"wait-{i}", answers)))
                threads[-1].start()
                time.sleep(0.05)
            self.assertEqual(f.terminate("daemon-" + stopping.address), 0)
            for thread in threads:
                thread.join()
            ran = (f.out_dir / (other.instance + ".exec")).read_text()
            for i in range(8):
                attempt = f"wait-{i}"
                status, outcome = answers[attempt]
                self.assertIn((status, outcome), [(200, "answer"), (503, "not_run")], answers)
                self.assertEqual(attempt in ran, status == 200, (attempt, answers, ran))
            self.assertEqual(sum(answers[f"wait-{i}"][0] == 200 for i in range(4)), 4, answers)


class FaultsTest(ProcessesCase):
    def test_history_stays_valid_under_overlapping_faults(self):
        with self.fleet(cold_ms=500) as f:
            f.wait_ready()
            f.start_callers("load", 300, 22, 2)
            time.sleep(1)
            f.kill("daemon-" + f.hosts[1].address)
            f.kill("upstream-" + f.hosts[2].address)
            f.send_signal("daemon-" + f.hosts[3].address, signal.SIGSTOP)
            f.change_evacuation(out=f.hosts[3].domain)
            f.publish_configuration(note="during")
            time.sleep(5)
            f.send_signal("daemon-" + f.hosts[3].address, signal.SIGCONT)
            f.start_daemon(f.hosts[1])
            f.start_upstream(f.hosts[2])
            # With random extra delays, the second of these two updates can overtake the first.
            f.reorder_link(60)
            f.publish_configuration(note="overtaken")
            f.publish_configuration(note="overtaking")
            time.sleep(1)
            f.cut_link("both")
            time.sleep(3)
            f.change_evacuation(in_=f.hosts[3].domain)
            f.cut_link("none")
            f.reorder_link(0)
            f.set_store_fault("down")
            f.send_signal("upstream-" + f.hosts[5].address, signal.SIGSTOP)
            time.sleep(3)
            f.send_signal("upstream-" + f.hosts[5].address, signal.SIGCONT)
            f.set_store_fault("none")
            version = f.publish_configuration(note="after")
            f.wait_ready(version=version)
            f.join_callers("load")
            self.assert_valid_history(f)

    def test_sighup_and_settings_changes_lose_no_call(self):
        with self.fleet(settings=QUIET_SETTINGS) as f:
            f.wait_ready()
            f.start_callers("load", 100, 4, 5)
            for host in f.hosts:
                f.send_signal("daemon-" + host.address, signal.SIGHUP)
            first, second = f.hosts[0], f.hosts[1]
            f.settings = {"process": {"log_level": "info"}, "view": {"watch": 400}}
            f.write_settings(first)
            f.settings = {"process": {"workers": "many"}}
            f.write_settings(second)
            f.join_callers("load")
            self.assert_valid_history(f, max_unknown=0)
            reload_log = (f.out_dir / f"daemon-{first.address}.log").read_text()
            self.assertIn('"applied":["process.log_level"]', reload_log)
            self.assertIn('"in_force_after_a_restart":["view.watch","calls.drain_notice"]', reload_log)
            rejection_log = (f.out_dir / f"daemon-{second.address}.log").read_text()
            self.assertIn("workers: \\\"many\\\" must be a whole number", rejection_log)

    def test_route_bound_to_a_region_runs_only_there(self):
        with self.fleet() as f:
            f.wait_ready()
            f.start_callers("home", 50, 2, 3, mix=["1:booking:1:litoral:POST:/litoral/agenda/"])
            f.start_callers("nowhere", 50, 2, 4, mix=["1:booking:1:salto:POST:/nowhere/"])
            f.join_callers("home")
            f.join_callers("nowhere")
            verdict = self.assert_valid_history(f)
            self.assertGreater(verdict.refused, 90)

    def test_operator_tools(self):
        with self.fleet() as f:
            f.wait_ready()
            hosts = [h.address for h in f.hosts]
            parsleyyard = str(BUILD / "parsleyyard")
            version = f.publish_configuration(note="second")
            completed = subprocess.run([parsleyyard, "wait-version", str(version), *hosts], capture_output=True,
                                       text=True)
            self.assertEqual(completed.returncode, 0, completed.stdout)
            timed_out = subprocess.run([parsleyyard, "wait-version", "99", *hosts, "--timeout", "0.2"],
                                       capture_output=True, text=True)
            self.assertEqual(timed_out.returncode, 1)
            self.assertIn("not in force on 13 of 13", timed_out.stdout)
            shown = subprocess.run([parsleyyard, "explain", hosts[0], "--domain", "mvd-a"], capture_output=True,
                                   text=True)
            self.assertIn("in service", shown.stdout)
            status = subprocess.run([parsleyyard, "status", hosts[0], "127.1.99.1"], capture_output=True, text=True)
            self.assertEqual(status.returncode, 3)
            self.assertIn("127.1.99.1: unreachable", status.stdout)
            invalid_file = f.out_dir / "bad.json"
            invalid_file.write_text('{"version":1,"resources":[{"resource-type":"routes","metadata":{"name":"r"},'
                                    '"spec":{"host":"h","prefix":"/r/","service":"none"}}]}')
            checked = subprocess.run([parsleyyard, "check", str(invalid_file)], capture_output=True, text=True)
            self.assertEqual(checked.returncode, 2)
            self.assertIn("service none is not configured", checked.stderr)


class StoreTest(ProcessesCase):
    """The stand-in store alone."""

    def setUp(self):
        self.store = self.fleet()
        self.store.spawn("platform", BUILD / "standin_platform")
        self.addCleanup(self.store.stop_all)
        self.store.wait_for_url(fleet.STORE_ADDRESS + "/admin/stats")

    # Returns the status and the era that the response states.
    def ask(self, target, seconds=30):
        try:
            response = urllib.request.urlopen(f"http://{fleet.STORE_ADDRESS}{target}", timeout=seconds)
        except urllib.error.HTTPError as error:
            response = error
        with response:
            return response.status, response.headers["Store-Era"]

    def test_every_answer_states_the_era(self):
        for era in ("1", "2", "3"):
            self.assertEqual(self.ask("/api/kv-range?prefix="), (200, era))
            self.assertEqual(self.ask("/api/kv-watch?prefix=&after=1&wait-ms=1"), (200, era))
            self.assertEqual(self.ask("/api/kv-watch?prefix=&after=99&wait-ms=1000"), (410, era))
            self.assertEqual(self.ask("/api/kv-key?key=unknown"), (404, era))
            self.assertEqual(self.ask("/api/unknown"), (404, era))
            self.store.set_store_fault("down")
            self.assertEqual(self.ask("/api/kv-range?prefix="), (503, era))
            self.store.set_store_fault("none")
            self.store.copy_store()
            self.store.restore_store()

    def test_restore_without_a_copy_changes_nothing(self):
        self.assertEqual(self.ask("/admin/restore"), (409, "1"))

    def test_restore_cuts_a_waiting_watch(self):
        self.store.copy_store()
        answers = []
        watch = threading.Thread(target=lambda: answers.append(
            self.ask("/api/kv-watch?prefix=&after=1&wait-ms=30000", seconds=60)))
        watch.start()
        while json.loads(fleet.fetch(fleet.STORE_ADDRESS + "/admin/stats"))["calls"] == 0:
            time.sleep(0.01)
        self.store.restore_store()
        watch.join()
        self.assertEqual(answers, [(503, "2")])


class VersionWatch:
    """Asks the daemons for their configuration versions, over and over. As a context manager it starts and stops."""

    def __init__(self, f):
        self.fleet = f
        self.highest = {}  # by address
        self.regressions = []  # address, version before, version after
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        while not self.stopped.wait(0.05):
            for host in self.fleet.hosts:
                self.note(host.address, self.fleet.status(host))

    def note(self, address, status):
        if status is None:
            return
        before, after = self.highest.get(address, 0), status["version"]
        if after < before:
            self.regressions.append((address, before, after))
        self.highest[address] = max(before, after)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.stopped.set()
        self.thread.join()


class RestoreTest(ProcessesCase):
    """The store comes back from an older copy."""

    def publish_with_route(self, f, name):
        route = {"name": name, "spec": {"prefix": f"/{name}/", "service": "vitrina", "kind": "idempotent"}}
        f.profile = {**f.profile, "routes": f.profile["routes"] + [route]}
        return f.publish_configuration()

    def call_route(self, f, name, seconds, seed):
        f.start_callers(name, 50, seconds, seed, mix=[f"1:{name}:0:-:GET:/{name}/"])

    def replace_upstream(self, f, host):
        self.assertEqual(f.terminate("upstream-" + host.address), 0)
        f.start_upstream(host)

    def evacuate_for_a_moment(self, f, domain):
        f.change_evacuation(out=domain)
        f.change_evacuation(in_=domain)

    def assert_served_or_refused(self, f, name):
        calls = check.read_calls([f.out_dir / f"{name}.calls"])
        statuses = {call.status for call in calls}
        self.assertIn(200, statuses)
        self.assertLessEqual(statuses, {200, 503}, name)

    def test_acknowledged_changes_stay_in_force_and_later_ones_arrive(self):
        with self.fleet() as f:
            f.wait_ready()
            f.start_callers("load", 200, 25, 6)
            f.copy_store()
            self.replace_upstream(f, f.hosts[0])
            f.publish_configuration(note="lost")
            self.evacuate_for_a_moment(f, f.hosts[2].domain)
            added = self.publish_with_route(f, "added")
            f.change_evacuation(out=f.hosts[1].domain)
            f.wait_ready(version=added)
            with VersionWatch(f) as versions:
                self.call_route(f, "added", 20, 7)
                f.set_store_fault("down")
                time.sleep(1)
                f.restore_store()
                f.set_store_fault("none")
                f.write_again(delay_s=2.5)
                later = self.publish_with_route(f, "later")
                f.wait_ready(version=later)
                self.call_route(f, "later", 3, 8)
                for name in ("later", "added", "load"):
                    f.join_callers(name)
            self.assertEqual(versions.regressions, [])
            self.assertEqual(set(versions.highest.values()), {later})
            self.assert_served_or_refused(f, "added")
            self.assert_served_or_refused(f, "later")
            self.assert_valid_history(f)


class RevocationTest(ProcessesCase):
    """Keys of workspaces that are withdrawn while daemons can't read the store."""

    PROFILE = {**fleet.FAROLITO, "services": {"vitrina": 4, "agenda": 4},
               "routes": [{"name": "catalogue", "spec": {"prefix": "/vitrina/", "service": "vitrina"}},
                          {"name": "inner", "spec": {"prefix": "/agenda/", "service": "agenda", "no-auth": True}}],
               "workspaces": {"acme": {"api-keys": ["key-one", "key-two"]}, "bolt": {"api-keys": ["key-three"]}}}
    SETTINGS = {**SETTINGS, "platform": {"bounds": "strict-revoke=true,revoke-ms=5000"}}
    REVOKE_S = 5
    calls = 0

    def call(self, host, path, key=None):
        """Returns the status, the workspace that the instance saw, and whether it saw a key."""
        self.calls += 1
        headers = {"Host": fleet.VIRTUAL_HOST, "Attempt-Id": f"r-{self.calls}", "Tenant-Id": "forged",
                   **({"Key": key} if key else {})}
        request = urllib.request.Request(f"http://{host.address}:8080{path}", headers=headers)
        try:
            response = urllib.request.urlopen(request, timeout=30)
        except urllib.error.HTTPError as error:
            response = error
        with response:
            return response.status, response.headers["x-seen-workspace"], "x-seen-key" in response.headers

    def call_until(self, host, key, expected, path="/vitrina/x"):
        """Calls until the answer is the expected one: a view may be too old for a moment, or lack instances."""
        deadline = time.time() + 30
        while (answer := self.call(host, path, key)) != expected:
            self.assertLess(time.time(), deadline, (host.address, key, answer))
            time.sleep(0.05)

    def withdraw_key(self, f, key):
        changed = {name: {**spec, "api-keys": [k for k in spec["api-keys"] if k != key]}
                   for name, spec in f.profile["workspaces"].items()}
        f.profile = {**f.profile, "workspaces": changed}
        return f.publish_configuration()

    def test_withdrawn_key_runs_nowhere_after_the_bound(self):
        with self.fleet(profile=self.PROFILE, settings=self.SETTINGS) as f:
            f.wait_ready(version=f.version)
            frozen = f.hosts[0]
            for host in f.hosts:
                self.call_until(host, "key-one", (200, "acme", False))
                self.call_until(host, "key-three", (200, "bolt", False))
                self.call_until(host, "key-nine", (401, None, False))
                self.call_until(host, None, (401, None, False))
                self.call_until(host, "key-one", (200, None, False), path="/agenda/x")
            f.send_signal("daemon-" + frozen.address, signal.SIGSTOP)
            f.set_store_fault("down")
            version = self.withdraw_key(f, "key-one")
            time.sleep(self.REVOKE_S + 0.01)
            f.send_signal("daemon-" + frozen.address, signal.SIGCONT)
            for host in f.hosts:
                for key in ("key-one", "key-two"):
                    self.assertEqual(self.call(host, "/vitrina/x", key)[0], 503, host.address)
                self.call_until(host, None, (200, None, False), path="/agenda/x")
            # Bounds that are reloaded count at once.
            reloaded = f.hosts[1]
            f.settings = {**SETTINGS, "platform": {"bounds": "strict-revoke=false"}}
            f.write_settings(reloaded)
            f.send_signal("daemon-" + reloaded.address, signal.SIGHUP)
            self.call_until(reloaded, "key-two", (200, "acme", False))
            f.set_store_fault("none")
            f.wait_ready(version=version)
            for host in f.hosts:
                self.call_until(host, "key-one", (401, None, False))
                self.call_until(host, "key-two", (200, "acme", False))
            pages = [fleet.fetch(f"{host.address}:8082/metrics") for host in f.hosts]
            logs = [(f.out_dir / f"daemon-{host.address}.log").read_text() for host in f.hosts]
            for text in pages + logs:
                self.assertNotRegex(text, "key-(one|two|three|nine)")
            self.assertIn("unconfirmed_key", "".join(logs))


class QuotaTest(ProcessesCase):
    """The quota of a workspace over all hosts, while the link between the regions is cut or its owner is frozen."""

    RATE, BURST, WINDOW_S = 10, 10, 5
    BOUND = (RATE * WINDOW_S + BURST) * 1.25 + 20
    PROFILE = {**fleet.FAROLITO, "services": {"vitrina": 4, "agenda": 4},
               "routes": [{"name": "catalogue", "spec": {"prefix": "/vitrina/", "service": "vitrina"}}],
               "workspaces": {"acme": {"api-keys": ["key-one"], "rate-per-s": RATE, "burst": BURST},
                              "bolt": {"api-keys": ["key-two"]}}}
    numbers = itertools.count()

    def call(self, host, key="key-one"):
        """Returns the time of sending, the status, the outcome (None: a response), the reason and the retry-after."""
        attempt = f"q-{next(self.numbers)}"
        headers = {"Host": fleet.VIRTUAL_HOST, "Attempt-Id": attempt, "Key": key}
        request = urllib.request.Request(f"http://{host.address}:8080/vitrina/x", headers=headers)
        sent_at = time.monotonic()
        try:
            response = urllib.request.urlopen(request, timeout=30)
        except urllib.error.HTTPError as error:
            response = error
        with response:
            response.read()
            return (sent_at, response.status, response.headers["x-parsleyyard-outcome"],
                    response.headers["x-parsleyyard-reason"], response.headers["retry-after"])

    def call_all(self, hosts, seconds):
        """Calls all hosts at the same time, each one call after the other."""
        answers = []
        end = time.monotonic() + seconds

        def call_one(host):
            while time.monotonic() < end:
                answers.append(self.call(host))
                time.sleep(0.01)
        threads = [threading.Thread(target=call_one, args=(host,)) for host in hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def call_until_served(self, host, key="key-one"):
        deadline = time.time() + 60
        while (answer := self.call(host, key))[1] != 200:
            self.assertIn(answer[1], (429, 503), answer)
            self.assertLess(time.time(), deadline, (host.address, answer))
            time.sleep(0.1)

    def largest_window(self, answers):
        ran = sorted(sent_at for sent_at, _, outcome, *_ in answers if outcome != "not_run")
        return max((sum(first <= at < first + self.WINDOW_S for at in ran) for first in ran), default=0)

    def owner(self, f):
        owners = [host for host in f.hosts
                  if "\nparsleyyard_quotas_owned 1\n" in fleet.fetch(f"{host.address}:8082/metrics")]
        self.assertEqual(len(owners), 1, owners)
        return owners[0]

    def test_quota_holds_over_all_hosts_under_a_cut_and_a_frozen_owner(self):
        with self.fleet(profile=self.PROFILE) as f:
            f.wait_ready(version=f.version)
            for host in f.hosts:
                self.call_until_served(host)
            answers = self.call_all(f.hosts, 6)
            self.assertIn(429, {status for _, status, *_ in answers})
            for _, status, outcome, reason, retry_after in answers:
                self.assertIn(status, (200, 429, 503), reason)
                if status == 429:
                    self.assertEqual((outcome, reason), ("not_run", "over_quota"))
                    self.assertGreater(float(retry_after), 0)
            f.cut_link("both")
            answers += self.call_all(f.hosts, 8)
            self.assertIn("quota_unknown", {reason for _, _, _, reason, _ in answers})
            f.cut_link("none")
            owner = self.owner(f)
            others = [host for host in f.hosts if host != owner]
            f.send_signal("daemon-" + owner.address, signal.SIGSTOP)
            answers += self.call_all(others, 5)
            f.send_signal("daemon-" + owner.address, signal.SIGCONT)
            answers += self.call_all(f.hosts, 6)
            self.assertLessEqual(self.largest_window(answers), self.BOUND)
            for host in f.hosts:
                self.call_until_served(host)
                # A workspace without a quota is not limited.
                self.call_until_served(host, "key-two")


if __name__ == "__main__":
    unittest.main(verbosity=2)
