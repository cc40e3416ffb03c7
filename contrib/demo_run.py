"""Runs one sample deployment on loopback and checks each outcome."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

PEER_TOKEN = "demo-peer-token"


class Demo:
    """Processes of one deployment, with stand-ins for the platform."""

    def __init__(self, build, deployment):
        self.build = build
        self.sample = os.path.join("contrib", "samples", deployment)
        self.tmp = tempfile.TemporaryDirectory()
        self.processes = []
        self.failures = 0

    def start(self, program, *args):
        log = open(os.path.join(self.tmp.name, "log"), "ab")
        process = subprocess.Popen(
            [os.path.join(self.build, program), *args],
            stdout=subprocess.PIPE, stderr=log, text=True)
        self.processes.append(process)
        line = process.stdout.readline().split()
        if not line or line[0] != "ready":
            raise RuntimeError(f"{program} did not start")
        return process, line[1:]

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

    def start_platform(self):
        _, (self.store,) = self.start("tests/standins/standin-store")
        _, (self.vms,) = self.start("tests/standins/standin-vmlist", "200")
        shards = self.load("shards")
        rows = [w for s in shards["shards"] for w in s["workers"]]
        specs = [f"{w['id']}:{w['cpu']}:{w['memory'].removesuffix('GB')}:"
                 f"{w.get('accelerators', 0)}" for w in rows]
        _, addresses = self.start("tests/standins/standin-worker", *specs)
        self.worker = addresses[0]
        for row, address in zip(rows, addresses):
            row["address"] = address
        services = self.load("services")
        self.endpoint = {}
        for service in services["services"]:
            count = len(service["endpoints"])
            _, addresses = self.start(
                "tests/standins/standin-endpoint", str(count), "3000")
            self.endpoint[service["name"]] = addresses[0]
            for row, address in zip(service["endpoints"], addresses):
                row["address"] = address
        self.shards, self.services = shards, services

    def start_daemons(self):
        vms = []
        self.daemons = []
        for shard in self.shards["shards"]:
            vm = shard["domain"] + "-entry-1"
            path = os.path.join(self.tmp.name, vm + ".toml")
            with open(path, "w", encoding="utf-8") as f:
                f.write(f"""
[vm]
id = "{vm}"
domain = "{shard['domain']}"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
store = "{self.store}"
vms = "{self.vms}"
[access]
peer_token = "{PEER_TOKEN}"
""")
            process, addresses = self.start(
                "curranttackd/curranttackd", "--config", path)
            self.daemons.append((vm, process, addresses))
            vms.append({"vm": vm, "domain": shard["domain"],
                        "address": addresses[2], "role": "daemon",
                        "state": "live"})
        self.put(f"http://{self.vms}/_vms", {"vms": vms})
        self.env = dict(os.environ, CURRANT_SERVER=self.daemons[0][2][1],
                        CURRANT_CALLERS=self.daemons[0][2][0])

    def put(self, url, document):
        request = urllib.request.Request(
            url, json.dumps(document).encode(), method="PUT")
        urllib.request.urlopen(request, timeout=10).read()

    def get(self, url):
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.load(response)

    def wait_until(self, what, test, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if test():
                self.check(what, True)
                return
            time.sleep(0.1)
        self.check(what, False, "not within %d s" % seconds)

    def configure(self):
        self.wait_until("daemons know each other", lambda: all(
            m["state"] == "alive" for m in self.members()) and
            len(self.members()) == 3)
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

    def members(self):
        return self.get(f"http://{self.env['CURRANT_SERVER']}/v1/members")[
            "members"]

    def status(self):
        return self.get(f"http://{self.env['CURRANT_SERVER']}/v1/status")

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
            f"http://{self.env['CURRANT_SERVER']}/v1/jobs/{service}")[
                "running"] == 6)
        self.ctl("placements")
        self.ctl("job", "cancel", service)
        self.ctl("job", "wait", service, code=1)

    def run_requests(self):
        name = self.services["services"][0]["name"]
        answer = self.ctl("service", "request", name, "-b", "hello", "-i")
        self.check("a whole answer", answer == "answer to hello", answer)
        first = self.ctl("service", "request", name, "-b", "order", "-k", "k1")
        for _, _, addresses in self.daemons:
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
        for vm, process, _ in self.daemons:
            process.send_signal(signal.SIGTERM)
        for vm, process, _ in self.daemons:
            self.check(f"{vm} exits cleanly", process.wait(40) == 0)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()
        self.tmp.cleanup()


def main():
    demo = Demo(sys.argv[1], sys.argv[2])
    print(f"--- {sys.argv[2]} ---")
    try:
        demo.start_platform()
        demo.start_daemons()
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
