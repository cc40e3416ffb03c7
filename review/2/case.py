"""Case 2: the history is lost, and the store goes down while daemons reload.

The store turns slow (270 ms an answer) and drops its history, so that all
daemons read the whole key space anew, in two pages. After the first page the
store is down for 4.5 s, and leases run out meanwhile. Then it is well again.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import run_case  # noqa: E402

JOBS = 300  # each leaves two keys, so that the key space has two pages
SLOW_S = 0.268  # platform_slow, x = 67 of 4 ms
DEAF_S = 1.0  # platform_compact: "watches hear nothing for a second"
DOWN_S = 4.5
RECOVER_S = 12.0
FINISH_S = 14.0
LASTING_S = 6.0  # LOST: "from 6 s after its last run"
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"
LASTING, NEW = "f0000000000000a1", "f0000000000000a2"


def job(ms=None, **step):
    spec = {"ms": ms} if ms else {"lasts": True}
    return {"spec": json.dumps(spec), "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": ms or 1000,
         **step}]}


async def fill(cell):
    """Hands jobs in and waits until the last has completed."""
    for n in range(JOBS):
        await cell.ask("POST", cell.daemons[n % 3], f"/q/{n:016x}", job(20))
    last = f"{JOBS - 1:016x}"

    async def completed():
        _, out, _ = await cell.ask("GET", cell.daemons[0], f"/q/{last}")
        return out.get("state") == "completed"
    await cell.wait(completed, 30, "the jobs complete")
    await asyncio.sleep(2.0)


async def disturb(cell):
    store = cell.store
    store.latency_s = SLOW_S
    store.deaf = True
    cell.record("store", "slow, watches hear nothing", s=SLOW_S)
    await asyncio.sleep(DEAF_S)
    store.pages.clear()
    store.deaf = False
    store.compact()
    cell.record("store", "history dropped, watches cut")
    await cell.wait(lambda: len({d for _, d in store.pages}) == 3, 10,
                    "all daemons read the key space")
    await asyncio.sleep(0.1)
    store.down = "busy"
    cell.record("store", "down")
    await asyncio.sleep(DOWN_S)
    store.down = None
    store.latency_s = 0.004
    cell.record("store", "up and fast")


def running(cell, name):
    return any(t.startswith(name) for w in cell.workers for t in w.runs)


async def main(cell, trouble):
    await cell.start(
        ["batch"], [("batch", f"m-{n}") for n in range(8)],
        [{"name": "q", "prefix": "/q/", "service": "batch",
          "max_attempts": 4}])
    await fill(cell)
    await cell.ask("POST", cell.daemons[1], f"/q/{LASTING}",
                   job(long_running=True))
    await asyncio.sleep(3.0)
    if trouble:
        await disturb(cell)
    await asyncio.sleep(RECOVER_S)
    status, _, _ = await cell.ask("POST", cell.daemons[1], f"/q/{NEW}",
                                  job(500))
    if status != 200:
        return f"a new job got {status} {RECOVER_S} s after the end"
    accepted = cell.record.now()
    idle_since = None
    until = accepted + max(FINISH_S, LASTING_S + IDLE_S)
    while cell.record.now() < until:
        await asyncio.sleep(0.1)
        if running(cell, LASTING) and cell.starts(NEW):
            idle_since = None
        elif idle_since is None:
            idle_since = cell.record.now()
    await cell.ask("GET", cell.daemons[2], f"/q/{NEW}")
    owner = cell.owner("batch")
    cell.record("judge", "end", idle_since=idle_since,
                owner=owner.name if owner else None)
    if idle_since is not None and until - idle_since > IDLE_S:
        return (f"nothing of the accepted jobs ran for "
                f"{until - idle_since:.1f} s with all workers free; "
                f"pool has owner: {owner is not None}")
    return None


run_case(main)
