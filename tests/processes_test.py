#!/usr/bin/env python3
"""Real processes and signals: the checks are those of the execution logs, never times."""

import pathlib
import signal
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import check  # noqa: E402
import fleet  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1) if len(sys.argv) > 1 else ROOT / "build")
QUIET = {"process": {"log_level": "warning"}, "calls": {"drain_notice": 300}}


class ProcessesCase(unittest.TestCase):
    def fleet(self, **options):
        return fleet.Fleet(fleet.FAROLITO, ROOT / "out/test", build=BUILD, settings=QUIET, **options)

    def assert_good(self, f, most_unknown=None):
        verdict, _ = check.check_fleet(f)
        problems = verdict.wrong + verdict.doubled + verdict.lost + verdict.misplaced
        self.assertEqual(problems, [], verdict.line())
        self.assertGreater(verdict.answered, 0)
        if most_unknown is not None:
            self.assertLessEqual(verdict.unknown, most_unknown, verdict.line())
        return verdict


class RollingStopTest(ProcessesCase):
    def test_rolling_stop_of_daemons_and_upstreams_cuts_no_call(self):
        with self.fleet() as f:
            f.wait_ready()
            f.callers("load", 200, 50, 1)
            for host in f.hosts:
                self.assertEqual(f.terminate("daemon-" + host.address), 0)
                f.start_daemon(host)
                f.wait_ready(hosts=[host])
            for host in f.hosts[:4]:
                self.assertEqual(f.terminate("upstream-" + host.address), 0)
                f.start_upstream(host)
            f.join_callers("load")
            self.assert_good(f, most_unknown=0)


class FaultsTest(ProcessesCase):
    def test_kills_freezes_cuts_and_declarations_break_no_promise(self):
        with self.fleet(cold_ms=500) as f:
            f.wait_ready()
            f.callers("load", 300, 22, 2)
            time.sleep(1)
            f.kill("daemon-" + f.hosts[1].address)
            f.kill("upstream-" + f.hosts[2].address)
            f.signal("daemon-" + f.hosts[3].address, signal.SIGSTOP)
            f.declare(out=f.hosts[3].domain)
            f.commit(note="during")
            time.sleep(5)
            f.signal("daemon-" + f.hosts[3].address, signal.SIGCONT)
            f.start_daemon(f.hosts[1])
            f.start_upstream(f.hosts[2])
            f.reorder_link(60)
            f.commit(note="overtaken")
            f.commit(note="overtaking")
            time.sleep(1)
            f.cut_link("both")
            time.sleep(3)
            f.declare(in_=f.hosts[3].domain)
            f.cut_link("none")
            f.reorder_link(0)
            f.fault("down")
            f.signal("upstream-" + f.hosts[5].address, signal.SIGSTOP)
            time.sleep(3)
            f.signal("upstream-" + f.hosts[5].address, signal.SIGCONT)
            f.fault("none")
            version = f.commit(note="after")
            f.wait_ready(version=version)
            f.join_callers("load")
            self.assert_good(f)

    def test_a_hangup_reloads_the_settings_and_cuts_no_call(self):
        with self.fleet() as f:
            f.wait_ready()
            f.callers("load", 100, 4, 5)
            for host in f.hosts:
                f.signal("daemon-" + host.address, signal.SIGHUP)
            first, second = f.hosts[0], f.hosts[1]
            f.settings = {"process": {"log_level": "info"}, "view": {"watch": 400}}
            f.write_settings(first)
            f.settings = {"process": {"workers": "many"}}
            f.write_settings(second)
            f.join_callers("load")
            self.assert_good(f, most_unknown=0)
            reloaded = (f.out / f"daemon-{first.address}.log").read_text()
            self.assertIn('"applied":["process.log_level"]', reloaded)
            self.assertIn('"in_force_after_a_restart":["view.watch","calls.drain_notice"]', reloaded)
            refused = (f.out / f"daemon-{second.address}.log").read_text()
            self.assertIn("workers: \\\"many\\\" must be a whole number", refused)

    def test_a_route_bound_to_a_region_runs_nowhere_else(self):
        with self.fleet() as f:
            f.wait_ready()
            f.callers("home", 50, 2, 3, mix=["1:booking:1:litoral:POST:/litoral/agenda/"])
            f.callers("nowhere", 50, 2, 4, mix=["1:booking:1:salto:POST:/nowhere/"])
            f.join_callers("home")
            f.join_callers("nowhere")
            verdict = self.assert_good(f)
            self.assertGreater(verdict.refused, 90)

    def test_operator_tools(self):
        with self.fleet() as f:
            f.wait_ready()
            hosts = [h.address for h in f.hosts]
            tool = str(BUILD / "parsleyyard")
            version = f.commit(note="second")
            done = subprocess.run([tool, "wait-version", str(version), *hosts], capture_output=True, text=True)
            self.assertEqual(done.returncode, 0, done.stdout)
            late = subprocess.run([tool, "wait-version", "99", *hosts, "--timeout", "0.2"], capture_output=True, text=True)
            self.assertEqual(late.returncode, 1)
            self.assertIn("not in force on 13 of 13", late.stdout)
            shown = subprocess.run([tool, "explain", hosts[0], "--domain", "mvd-a"], capture_output=True, text=True)
            self.assertIn("in service", shown.stdout)
            status = subprocess.run([tool, "status", hosts[0], "127.1.99.1"], capture_output=True, text=True)
            self.assertEqual(status.returncode, 3)
            self.assertIn("127.1.99.1: unreachable", status.stdout)
            bad = f.out / "bad.json"
            bad.write_text('{"version":1,"resources":[{"resource-type":"routes","metadata":{"name":"r"},'
                           '"spec":{"host":"h","prefix":"/r/","service":"none"}}]}')
            checked = subprocess.run([tool, "check", str(bad)], capture_output=True, text=True)
            self.assertEqual(checked.returncode, 2)
            self.assertIn("service none is not configured", checked.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
