"""Case 5: a task that always fails is started without end.

The queue allows 12 attempts. All runs of the job's only task end failed.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import run_case  # noqa: E402

JOB = "f0000000000000e1"
MAX_ATTEMPTS = 12


async def main(cell, trouble):
    await cell.start(
        ["batch"], [("batch", f"m-{n}") for n in range(8)],
        [{"name": "q", "prefix": "/q/", "service": "batch",
          "max_attempts": MAX_ATTEMPTS}])
    await cell.ask("POST", cell.daemons[1], f"/q/{JOB}", {
        "spec": json.dumps({"ms": 200, "fails": trouble}), "steps": [
            {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200}]})
    await asyncio.sleep(20)
    _, out, _ = await cell.ask("GET", cell.daemons[0], f"/q/{JOB}")
    ends = cell.ends(JOB, "failed")
    late = [e for e in cell.starts(JOB)
            if len(ends) >= MAX_ATTEMPTS and
            e["at"] > ends[MAX_ATTEMPTS - 1]["at"] + 0.1]
    cell.record("judge", "end", starts=len(cell.starts(JOB)),
                failed=len(ends), after_the_last_attempt=len(late),
                state=out.get("state"))
    # An end is taken note of 100 ms after it is listed; one start more is
    # left to an order that is already on its way.
    if len(late) > 1:
        return (f"{len(late)} starts after {MAX_ATTEMPTS} failed runs, "
                f"state {out.get('state')}")
    return None


run_case(main)
