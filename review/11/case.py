"""An instance spoils part of its answers; the daemon beside it must keep serving the clients of its machine."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import rig

HOSTS = [("127.81.1.1", "mvd-a", "pedidos"), ("127.81.1.2", "mvd-a", "pedidos"),
         ("127.81.1.3", "mvd-a", "pedidos"), ("127.81.2.1", "mvd-b", "vitrina"), ("127.81.2.2", "mvd-b", "vitrina")]
REGIONS = {"mvd-a": "montevideo", "mvd-b": "montevideo"}
COMMON = {"host": "shop.example", "max-attempts": 2, "allowed-regions": []}
ROUTES = {"orders": {**COMMON, "prefix": "/orders/", "service": "pedidos", "kind": "non_idempotent",
                     "timeout-ms": 800, "target-latency-ms": 400, "priority": 0},
          "catalogue": {**COMMON, "prefix": "/catalogue/", "service": "vitrina", "kind": "idempotent",
                        "timeout-ms": 1000, "target-latency-ms": 500, "priority": 2}}
GARBLE_S, GARBLE_X = 5.5, 0.02  # the doses of the site file: share .35 (one of three instances), x .02, 5.5 s
MORE_THAN = 3


def spoiled_answer(attempt):
    """A chunked answer in which a chunk length reads 0, so that the rest of the body, 70,000 bytes, stands where
    the trailer would be."""
    return (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nAttempt-Id: " + attempt.encode() +
            b"\r\nServer-Seal: s\r\n\r\n5\r\nhello\r\n0\r\nitems: " + b"0" * 70000 + b"\r\n\r\n")


async def case(record, folder):
    fleet = rig.Fleet(HOSTS, REGIONS, folder)
    store = rig.Store()
    await store.start(fleet.store_address, fleet.store_port)
    store.put("op/config", rig.configuration(1, ROUTES, ["pedidos", "vitrina"]))
    instances = [rig.Instance(store, record, f"i-{n}", h[2], h[1], h[0], fleet.app) for n, h in enumerate(HOSTS)]
    sound = {i.id for i in instances[1:]}
    for instance in instances:
        await instance.start()
    try:
        for host in HOSTS:
            fleet.start_daemon(host)
        if not await fleet.wait_ready():
            return 2
        began, lost, ends = rig.now(), [], []

        def spoil(kind, attempt):
            if 4 <= rig.now() - began <= 4 + GARBLE_S and kind == "answer" and instances[0].random.random() < GARBLE_X:
                record.note(f"{instances[0].id} spoils its answer to {attempt}")
                return spoiled_answer(attempt)
            return None

        if rig.TROUBLE:
            instances[0].spoil = spoil

        async def platform():
            """Starts a process that ended again, after a short delay."""
            while rig.now() - began < 14:
                for host in HOSTS:
                    process = fleet.processes[host[0]]
                    if process.poll() is not None:
                        log = (pathlib.Path(folder) / (host[0] + ".log")).read_text().strip().splitlines()
                        await asyncio.sleep(0.2)  # the clients see their connections end first
                        ends.append(host[0])
                        record.note(f"the daemon of {host[0]} ended by itself, exit status {process.returncode}; "
                                    f"its last line: {log[-1][:300]}")
                        await asyncio.sleep(0.3)
                        fleet.start_daemon(host)
                await asyncio.sleep(0.01)

        async def run(client, method, path):
            while rig.now() - began < 14:
                kept = client.connection is not None
                sent_at = rig.now()
                attempt, status, _ = await client.request(method, path, b"", 1500)
                closed = status is None and rig.now() - sent_at < 0.7
                # Later ones are not counted: the platform has started the process again.
                if not ends and kept and closed and any(i in sound for i in record.runs.get(attempt, [])):
                    lost.append(attempt)
                    record.note(f"no answer for {attempt} on a kept connection; run by {record.runs[attempt]}")
                await asyncio.sleep(0.05)

        readers = [rig.Client(record, HOSTS[0][0], fleet.callers, "shop.example", f"read-{n}") for n in range(24)]
        captains = [rig.Client(record, HOSTS[3][0], fleet.callers, "shop.example", f"order-{n}") for n in range(20)]
        await asyncio.gather(platform(), *[run(c, "GET", "/catalogue/x") for c in readers],
                             *[run(c, "PUT", "/orders/x") for c in captains])
        print(f"{len(record.answers)} answers; daemons that ended by themselves: {ends}; LOST: {len(lost)} requests, "
              f"allowed {MORE_THAN}")
        record.note(f"LOST: {len(lost)} requests, allowed {MORE_THAN}; ends of daemons: {ends}")
        return 1 if len(lost) > MORE_THAN else 0
    finally:
        fleet.stop()


rig.main(pathlib.Path(__file__).resolve().parent, case)
