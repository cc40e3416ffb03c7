"""Case 4: a job is shown as failed because workers crashed under it.

The job's only task lasts. No run of it ever ends failed. Four times, the
worker that it is on crashes, and comes back three seconds later.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import run_case  # noqa: E402

JOB = "f0000000000000d1"
CRASHES = 4
RAN_S = 3.0
DOWN_S = 3.0


def host(cell):
    return next((w for w in cell.workers
                 if any(t.startswith(JOB) for t in w.runs)), None)


async def crash_its_worker(cell):
    """Returns False if the task does not start again."""
    until = cell.record.now() + 12
    while host(cell) is None:
        if cell.record.now() > until:
            return False
        await asyncio.sleep(0.05)
    await asyncio.sleep(RAN_S)
    worker = host(cell)
    if worker is not None:
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.come_back()
    return True


async def main(cell, trouble):
    await cell.start(
        ["batch"], [("batch", f"m-{n}") for n in range(8)],
        [{"name": "q", "prefix": "/q/", "service": "batch",
          "max_attempts": 4}])
    await cell.ask("POST", cell.daemons[1], f"/q/{JOB}", {
        "spec": json.dumps({"lasts": True}), "steps": [
            {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000,
             "long_running": True}]})
    for _ in range(CRASHES if trouble else 0):
        if not await crash_its_worker(cell):
            break
    await asyncio.sleep(12)
    status, out, _ = await cell.ask("GET", cell.daemons[0], f"/q/{JOB}")
    failed = len(cell.ends(JOB, "failed"))
    crashed = len(cell.ends(JOB, "crash"))
    cell.record("judge", "end", status=status, state=out.get("state"),
                ends_failed=failed, crashes=crashed)
    if out.get("state") == "failed" and failed == 0:
        return (f"shown as failed after {crashed} crashes of workers; "
                f"no run has ended failed")
    return None


run_case(main)
