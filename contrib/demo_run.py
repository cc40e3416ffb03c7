"""Runs one sample deployment on loopback and checks each outcome."""

import json
import os
import signal
import subprocess
import sys
import tomllib

from cluster import Cluster


class Demo(Cluster):
    """One sample deployment with a stand-in for each part of it."""

    def __init__(self, build, deployment):
        super().__init__(build)
        self.sample = os.path.join("contrib", "samples", deployment)
        self.failures = 0

    def load(self, area):
        with open(os.path.join(self.sample, area + ".toml"), "rb") as f:
            return tomllib.load(f)

    def write(self, name, document):
        path = os.path.join(self.tmp.name, name)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(document, f)
        return path

    def ctl(self, *args, code=0):
        result = subprocess.run(
            [os.path.join(self.build, "currantctl/currantctl"), *args],
            capture_output=True, text=True, env=self.env, timeout=60)
        shown = (result.stdout + result.stderr).strip().splitlines()
        self.check(f"currantctl {' '.join(args)}", result.returncode == code,
                   shown[0] if shown else "")
        return result.stdout.strip()

    def check(self, what, ok, detail=""):
        print(f"{'ok  ' if ok else 'FAIL'}  {what}  {detail}"[:150])
        if not ok:
            self.failures += 1

    def start_all(self):
        self.start_platform()
        self.shards = self.load("shards")
        self.worker = self.start_workers(self.shards)[0]
        self.services = self.load("services")
        self.endpoint = {
            service["name"]: self.start_endpoints(service, 3000)[0]
            for service in self.services["services"]}
        for shard in self.shards["shards"]:
            self.start_daemon(shard["domain"] + "-entry-1", shard["domain"])
        self.publish_vms()
        self.env = dict(os.environ, CURRANT_SERVER=self.operators(),
                        CURRANT_CALLERS=self.callers())

    def wait_until(self, what, test):
        self.check(what, self.until(test))

    def configure(self):
        self.wait_until("daemons know each other", self.all_alive)
        for area in ("preset", "teams", "objectives"):
            self.ctl("config", "put", area,
                     os.path.join(self.sample, area + ".toml"))
        self.ctl("config", "put", "services",
                 self.write("services.json", self.services))
        self.ctl("config", "put", "shards",
                 self.write("shards.json", self.shards))
        self.wait_until("every shard has an owner in its domain", lambda: all(
            s["owner"] == s["shard"] + "-entry-1"
            for s in self.status()["shards"]))

    def job(self, name):
        return os.path.join(self.sample, "jobs", name + ".toml")

    def run_jobs(self):
        service = self.ctl("job", "submit", "-f", self.job("service"),
                           "-k", "demo-service")
        again = self.ctl("job", "submit", "-f", self.job("service"),
                         "-k", "demo-service")
        self.check("the same key names the same job", service == again)
        batch = self.ctl("job", "submit", "-f", self.job("batch"))
        gang = self.ctl("job", "submit", "-f", self.job("gang"))
        self.ctl("job", "submit", "-f", self.job("impossible"), code=1)
        self.ctl("job", "wait", batch)
        self.ctl("job", "wait", gang)
        self.ctl("why", service)
        self.wait_until("the service runs", lambda: self.get(
            f"http://{self.operators()}/v1/jobs/{service}")[
                "running"] == 6)
        self.ctl("placements")
        self.ctl("job", "cancel", service)
        self.ctl("job", "wait", service, code=1)

    def run_requests(self):
        name = self.services["services"][0]["name"]
        answer = self.ctl("service", "request", name, "-b", "hello", "-i")
        self.check("a whole answer", answer == "answer to hello", answer)
        first = self.ctl("service", "request", name, "-b", "order", "-k", "k1")
        for _, _, addresses, _ in self.daemons:
            self.env["CURRANT_CALLERS"] = addresses[0]
            again = self.ctl(
                "service", "request", name, "-b", "order", "-k", "k1")
            self.check("the key gets the first one's answer", again == first)
        count = self.get(f"http://{self.endpoint[name]}/_count?key="
                         f"key%20{name}/k1")["count"]
        self.check("the keyed request ran once", count == 1, str(count))
        self.ctl("service", "request", name, "-b", "other", "-k", "k1", code=1)

    def run_operations(self):
        self.ctl("preset", "set", "peaks")
        self.check("the preset is in force", self.ctl(
            "preset", "show") == "peaks")
        self.ctl("preset", "set", "holidays", code=1)
        self.ctl("preset", "set", "ordinary")
        self.ctl("workers")
        self.ctl("members")
        self.ctl("status")
        self.ctl("config", "history", "preset")
        self.ctl("report", "burn")

    def check_workers(self):
        report = self.get(f"http://{self.worker}/_report")
        bad = {k: report[k] for k in
               ("overcommitted", "doubled", "repeated", "completed_twice")}
        self.check("no worker overcommitted, no task in two places",
                   not any(bad.values()), str(bad))
        self.check("nothing is left running", report["live"] == 0,
                   str(report["live"]))

    def stop_daemons(self):
        for vm, process, _, _ in self.daemons:
            process.send_signal(signal.SIGTERM)
        for vm, process, _, _ in self.daemons:
            self.check(f"{vm} exits cleanly", process.wait(40) == 0)


def main():
    demo = Demo(sys.argv[1], sys.argv[2])
    print(f"--- {sys.argv[2]} ---")
    try:
        demo.start_all()
        demo.configure()
        demo.run_jobs()
        demo.run_requests()
        demo.run_operations()
        demo.check_workers()
        demo.stop_daemons()
        if demo.failures and os.environ.get("DEMO_LOG"):
            with open(os.path.join(demo.tmp.name, "log")) as log:
                print(log.read())
    finally:
        demo.close()
    print(f"{demo.failures} wrong outcomes")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
