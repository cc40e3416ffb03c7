"""Case 4: a job that was shown as completed is run again.

The store is down when the job's last task ends. The owner shows the job as
completed, on all daemons, though nothing of that is stored. Then all daemons
and the worker that ran the task lose power. The store is back before the
daemons are.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import CONTACT_S, run_case  # noqa: E402

JOB = "f0000000000000b1"
WORK_MS = 4000
DARK_S = 2.0
BACK_FIRST_S = 1.0


async def shown_completed(cell):
    """When all daemons have shown the job as completed."""
    until = cell.record.now() + 8
    while cell.record.now() < until:
        states = [await cell.ask("GET", d, f"/q/{JOB}", timeout=1)
                  for d in cell.daemons]
        if all(out.get("state") == "completed" for _, out, _ in states):
            return max(at for _, _, at in states)
        await asyncio.sleep(0.2)
    return None


async def lose_power(cell, worker):
    for d in cell.daemons:
        d.kill()
    worker.crash()
    await asyncio.sleep(DARK_S - BACK_FIRST_S)
    cell.store.down = None
    cell.record("store", "up")
    await asyncio.sleep(BACK_FIRST_S)
    for d in cell.daemons:
        d.start()
    return cell.record.now()


async def main(cell, trouble):
    await cell.start(
        ["batch"], [("batch", f"m-{n}") for n in range(8)],
        [{"name": "q", "prefix": "/q/", "service": "batch",
          "max_attempts": 4}])
    await cell.ask("POST", cell.daemons[1], f"/q/{JOB}", {
        "spec": json.dumps({"ms": WORK_MS}), "steps": [
            {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": WORK_MS},
            {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": WORK_MS,
             "after": [0]}]})
    await cell.wait(lambda: cell.starts(f"{JOB}.0.1."), 20, "last step")
    worker = next(w for w in cell.workers if any(
        t.startswith(f"{JOB}.0.1.") for t in w.runs))
    await asyncio.sleep(WORK_MS / 1000 - 1.0)
    if trouble:
        cell.store.pause_leases = True
        cell.store.down = "busy"
        cell.record("store", "down")
    shown = await shown_completed(cell)
    if shown is None:
        return None
    back = shown
    if trouble:
        back = await lose_power(cell, worker)
        cell.store.pause_leases = False
    await asyncio.sleep(25)
    await cell.ask("GET", cell.daemons[0], f"/q/{JOB}")
    again = [e for e in cell.starts(JOB) if e["at"] > back + CONTACT_S]
    cell.record("judge", "end", shown=shown, back=back, again=again)
    if again:
        return (f"shown as completed by all daemons at {shown:.1f} s, "
                f"started again at {again[0]['at']:.1f} s, "
                f"{again[0]['at'] - back:.1f} s after the daemons were back")
    return None


run_case(main)
