"""Goodput and latency of requests through real daemons and endpoints.

One failure domain with three daemons and six endpoints of eight slots. Rates
are shares of the endpoints' capacity. Each row is one open-loop run.
"""

import json
import os
import subprocess
import sys
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "contrib"))
from cluster import Cluster  # noqa: E402

ENDPOINTS = 6
SLOTS = 8
SERVICE_US = 40000
CAPACITY = ENDPOINTS * SLOTS * 1e6 / SERVICE_US
DEADLINE_MS = 1000


class Bench(Cluster):
    def __init__(self, build, choice):
        super().__init__(build)
        self.start_platform(lag_ms=0)
        service = {"name": "svc", "endpoints": [
            {"id": f"e{i}", "domain": "d", "slots": SLOTS}
            for i in range(ENDPOINTS)]}
        self.endpoint = self.start_endpoints(service, SERVICE_US)
        for i in range(3):
            self.start_daemon(f"v{i}", "d", f"""
[requests]
choice = "{choice}"
[log]
level = "warn"
""")
        self.publish_vms()
        self.until(self.all_alive)
        self.put_config("services", {"services": [service]})
        self.until(lambda: all(
            self.status(i)["services"] for i in range(3)))

    def behave(self, index, **what):
        urllib.request.urlopen(urllib.request.Request(
            f"http://{self.endpoint[index]}/_behaviour",
            json.dumps(what).encode(), method="POST")).read()

    def counters(self):
        total = {}
        for i, (_, process, _, _) in enumerate(self.daemons):
            if process.poll() is None:
                for key, value in self.metrics(i).items():
                    total[key] = total.get(key, 0) + value
        return total

    def run(self, name, percent, seconds, daemons=(0, 1, 2),
            working=ENDPOINTS):
        rate = CAPACITY * percent / 100
        capacity = CAPACITY * working / ENDPOINTS
        before = self.counters()
        out = subprocess.run(
            [os.path.join(self.build, "bench/loadgen"), str(rate),
             str(seconds), str(DEADLINE_MS), "svc",
             *[self.callers(i) for i in daemons]],
            capture_output=True, text=True, check=True).stdout
        after = self.counters()
        rows = {line.split()[0]: [float(x) for x in line.split()[1:]]
                for line in out.splitlines()}
        done = sum(r[1] for r in rows.values())
        offered = sum(r[0] for r in rows.values())
        bad = sum(r[3] + r[4] for r in rows.values())
        sends = after["request_attempts_total"] - \
            before["request_attempts_total"]
        retries = after["request_retries_total"] - \
            before["request_retries_total"]
        u, n = rows["urgent"], rows["normal"]
        print(f"{name:28} {percent:4d}% {offered:8.0f} {done:8.0f} "
              f"{done / min(capacity, offered) * 100:6.1f}% "
              f"{u[5]:7.1f} {u[6]:7.1f} {u[7]:7.1f} "
              f"{n[5]:7.1f} {n[6]:7.1f} "
              f"{retries / max(sends, 1) * 100:6.2f}% {bad:6.1f}",
              flush=True)
        return u[6]


def main():
    build = sys.argv[1]
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 4
    print(f"capacity {CAPACITY:.0f}/s, service time {SERVICE_US / 1000:.0f} "
          f"ms, deadline {DEADLINE_MS} ms")
    print(f"{'case':28} {'load':>5} {'offered':>8} {'done/s':>8} {'goodput':>7} "
          f"{'urg p50':>7} {'p99':>7} {'p99.9':>7} {'nor p50':>7} {'p99':>7} "
          f"{'retries':>7} {'lost/s':>6}")
    for choice in ("two_random", "least_outstanding"):
        bench = Bench(build, choice)
        try:
            bench.run(choice + " (warm-up)", 50, 2)
            for percent in (50, 90, 120, 200):
                bench.run(choice, percent, seconds)
            if choice == "two_random":
                continue
            bench.behave(0, service_us=10 * SERVICE_US)
            for percent in (50, 90):
                bench.run("one endpoint 10x slower", percent, seconds,
                          working=ENDPOINTS - 0.9)
            bench.behave(0, service_us=SERVICE_US, refuse=True)
            for percent in (50, 90):
                bench.run("one endpoint refuses all", percent, seconds,
                          working=ENDPOINTS - 1)
            bench.behave(0, refuse=False, hang=True)
            for percent in (50, 90):
                bench.run("one endpoint hangs", percent, seconds,
                          working=ENDPOINTS - 1)
            bench.behave(0, hang=False)
            time.sleep(1)
            bench.daemons[2][1].kill()
            bench.daemons[2][1].wait()
            bench.run("one daemon just killed", 90, seconds, (0, 1))
        finally:
            bench.close()


if __name__ == "__main__":
    main()
