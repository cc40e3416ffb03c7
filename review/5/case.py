"""Case 5: a job runs on after its cancelling was acknowledged.

The answer to the write of a new job is lost, and the store does the write
some seconds later. The caller gets 504, and cancels the job at another
daemon, which answers 410. Then the job appears and runs to its end.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from standin import CANCEL_S, STOP_BOUND_S, CONTACT_S, run_case  # noqa: E402

JOB = "f0000000000000c1"
LATE_S = 5.0  # platform_lost, how "late": 1 to 6 s later
STEPS = 5
WORK_MS = 2000


async def main(cell, trouble):
    await cell.start(
        ["batch"], [("batch", f"m-{n}") for n in range(8)],
        [{"name": "q", "prefix": "/q/", "service": "batch",
          "max_attempts": 4}])
    owner = cell.owner("batch")
    first, second = [d for d in cell.daemons if d is not owner]
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": WORK_MS}
    if trouble:
        cell.store.late = (first.name, LATE_S)
        cell.record("store", "answers to writes are lost", door=first.name)
    await cell.ask("POST", first, f"/q/{JOB}", {
        "spec": json.dumps({"ms": WORK_MS}),
        "steps": [dict(step, **({"after": [n - 1]} if n else {}))
                  for n in range(STEPS)]})
    cell.store.late = None
    cell.record("store", "answers again")
    status, _, acked = await cell.ask("DELETE", second, f"/q/{JOB}")
    if status not in (200, 410):
        return None
    await asyncio.sleep(LATE_S + STEPS * WORK_MS / 1000 + 4)
    await cell.ask("GET", second, f"/q/{JOB}")
    # By then the last write that was held back has been done for contact_ms.
    calm = acked + LATE_S + CONTACT_S
    starts = [e for e in cell.starts(JOB)
              if e["at"] > max(acked + CANCEL_S, calm)]
    ends = [e for e in cell.ends(JOB, "done")
            if e["at"] > max(acked + CANCEL_S + STOP_BOUND_S, calm)]
    cell.record("judge", "end", acked=acked, status=status,
                starts=[e["at"] - acked for e in starts])
    if starts:
        return (f"DELETE got {status}; {len(starts)} tasks were started "
                f"{starts[0]['at'] - acked:.1f} to "
                f"{starts[-1]['at'] - acked:.1f} s later, "
                f"{len(ends)} ended done")
    return None


run_case(main)
