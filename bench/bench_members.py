"""Cost of membership: idle daemons in one and in several failure domains."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "contrib"))
from cluster import Cluster  # noqa: E402

SETTINGS = """
[limits]
threads = 1
[log]
level = "warn"
"""


def run(build, domains, per_domain, seconds):
    cluster = Cluster(build)
    try:
        cluster.start_platform(lag_ms=0)
        for d in range(domains):
            for i in range(per_domain):
                cluster.start_daemon(f"d{d}-v{i}", f"d{d}", SETTINGS)
        cluster.publish_vms()
        if not cluster.until(cluster.all_alive, 40):
            print("not all daemons are alive")
        cluster.put_config("preset", {"preset": "ordinary"})
        time.sleep(3)
        ends = (0, len(cluster.daemons) - 1)
        before = [cluster.metrics(i) for i in ends]
        t0 = time.monotonic()
        time.sleep(seconds)
        after = [cluster.metrics(i) for i in ends]
        t1 = time.monotonic()
        for name, i in (("speaker", 0), ("other", 1)):
            def per_s(key):
                return (after[i][key] - before[i][key]) / (t1 - t0)
            sent = per_s("peer_bytes_out_total")
            received = per_s("peer_bytes_in_total")
            print(f"{domains:7d} {per_domain:10d} {name:>8} "
                  f"{sent / 1e3:8.2f} {received / 1e3:8.2f} "
                  f"{per_s('control_cpu_us_total') / 1e4:7.2f}% "
                  f"{per_s('store_reads_total'):8.2f} "
                  f"{per_s('store_writes_total'):8.2f}", flush=True)
        started = time.monotonic()
        answer = cluster.put(
            f"http://{cluster.operators()}/v1/config/preset?if_revision=1",
            {"preset": "peaks"})
        assert b"done" in answer
        cluster.until(lambda: all(
            cluster.status(i)["preset"] == "peaks"
            for i in range(len(cluster.daemons))))
        print(f"        change in force on all {len(cluster.daemons)} daemons "
              f"after {time.monotonic() - started:.2f} s")
        # The platform lists the last daemon as leaving.
        vms = [{"vm": vm, "domain": domain, "address": addresses[2],
                "role": "daemon", "state": "live"}
               for vm, _, addresses, domain in cluster.daemons]
        vms[-1]["state"] = "leaving"
        started = time.monotonic()
        cluster.put(f"http://{cluster.vms}/_vms", {"vms": vms})
        cluster.until(lambda: all(
            m["state"] == "leaving" for i in range(len(cluster.daemons))
            for m in cluster.members(i) if m["vm"] == vms[-1]["vm"]))
        print(f"        leaving VM known to all after "
              f"{time.monotonic() - started:.2f} s")
    finally:
        cluster.close()


def main():
    build = sys.argv[1]
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    print(f"{'domains':>7} {'per domain':>10} {'daemon':>8} {'out kB/s':>8} "
          f"{'in kB/s':>8} {'control':>8} {'reads/s':>8} {'writes/s':>8}")
    for domains, per_domain in ((1, 3), (1, 6), (1, 9), (3, 3), (6, 3),
                                (12, 3)):
        run(build, domains, per_domain, seconds)


if __name__ == "__main__":
    main()
