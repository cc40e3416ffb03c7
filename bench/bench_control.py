"""Control cost of one daemon that owns one shard, at several sizes.

For each size it starts a daemon and stand-in workers, fills the shard, keeps
a rate of starts going and reports what control costs: processor share of the
control loop, bytes to and from workers and peers, store writes, memory.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "contrib"))
from cluster import Cluster  # noqa: E402

SETTINGS = """
[workers]
lease = "{lease}s"
renew = "{renew}s"
[log]
level = "warn"
"""


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as f:
        for line in f:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def submit(cluster, fields):
    job = {"team": "t", "name": "n", "cpu": 0.5, "memory": "1GB"}
    job.update(fields)
    cluster.post(f"http://{cluster.callers()}/v1/jobs", job)


def feed(cluster, rate, stop):
    """Jobs of ten tasks at a steady rate."""
    begin = time.monotonic()
    sent = 0
    while not stop.is_set():
        due = (time.monotonic() - begin) * rate / 10
        if sent < due:
            submit(cluster, {"kind": "batch", "count": 10, "run": "4s",
                             "idempotent": True})
            sent += 1
        else:
            time.sleep(0.01)


def run(build, workers, tasks, rate, seconds, lease, renew):
    cluster = Cluster(build)
    try:
        cluster.start_platform()
        shards = {"goal": "waiting", "shards": [{
            "id": "s", "domain": "d", "workers": [
                {"id": f"w{i}", "rack": f"r{i // 5}", "cpu": 32,
                 "memory": "128GB"} for i in range(workers)]}]}
        cluster.start_workers(shards)
        cluster.start_daemon("v", "d", SETTINGS.format(
            lease=lease, renew=renew))
        cluster.publish_vms()
        cluster.until(cluster.all_alive)
        cluster.put_config("shards", shards)
        cluster.until(lambda: cluster.status()["shards"] and
                      cluster.status()["shards"][0]["owner"] == "v")
        steady = tasks - rate * 4
        for _ in range(max(steady, 0) // 100):
            submit(cluster, {"kind": "service", "count": 100})
        stop = threading.Event()
        feeder = threading.Thread(target=feed, args=(cluster, rate, stop))
        feeder.start()
        time.sleep(8)
        before, t0 = cluster.metrics(), time.monotonic()
        time.sleep(seconds)
        after, t1 = cluster.metrics(), time.monotonic()
        stop.set()
        feeder.join()
        rss = resident_kb(cluster.daemons[0][1].pid)
    finally:
        cluster.close()
    per_s = {k: (after[k] - before[k]) / (t1 - t0) for k in before}
    print(f"{workers:7d} {tasks:6d} {rate:6d} "
          f"{per_s['tasks_started_total']:9.1f} "
          f"{per_s['control_cpu_us_total'] / 1e4:8.2f}% "
          f"{per_s['worker_bytes_total'] / 1e3:9.2f} "
          f"{per_s['worker_messages_total']:9.1f} "
          f"{per_s['peer_bytes_out_total'] / 1e3:8.2f} "
          f"{per_s['store_writes_total']:8.2f} {rss / 1024:8.1f}",
          flush=True)


def main():
    build = sys.argv[1]
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    lease, renew = (sys.argv[3:5] if len(sys.argv) > 4 else ("45", "15"))
    print(f"{'workers':>7} {'tasks':>6} {'rate':>6} {'starts/s':>9} "
          f"{'control':>9} {'worker kB':>9} {'worker ms':>9} {'peer kB':>8} "
          f"{'writes/s':>8} {'RSS MB':>8}   lease {lease}s, renew {renew}s")
    for workers, tasks, rate, length in (
            (40, 550, 9, seconds), (80, 1100, 17, seconds),
            (160, 2200, 35, seconds),
            (320, 4400, 70, 3 * seconds)):
        run(build, workers, tasks, rate, length, lease, renew)


if __name__ == "__main__":
    main()
