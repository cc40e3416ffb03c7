"""Daemons and stand-ins as local processes, for the demo and benches."""

import json
import os
import subprocess
import tempfile
import time
import urllib.request

PEER_TOKEN = "local-peer-token"


class Cluster:
    """Processes on loopback; ports are bound at 0 and passed on."""

    def __init__(self, build):
        self.build = build
        self.tmp = tempfile.TemporaryDirectory()
        self.processes = []
        self.daemons = []

    def start(self, program, *args):
        log = open(os.path.join(self.tmp.name, "log"), "ab")
        process = subprocess.Popen(
            [os.path.join(self.build, program), *args],
            stdout=subprocess.PIPE, stderr=log, text=True)
        log.close()
        self.processes.append(process)
        line = process.stdout.readline().split()
        if not line or line[0] != "ready":
            raise RuntimeError(f"{program} did not start")
        return process, line[1:]

    def start_platform(self, lag_ms=200):
        _, (self.store,) = self.start("tests/standins/standin-store")
        _, (self.vms,) = self.start(
            "tests/standins/standin-vmlist", str(lag_ms))

    def start_workers(self, shards):
        """Starts a stand-in for each worker and fills in its address."""
        rows = [w for s in shards["shards"] for w in s["workers"]]
        specs = [f"{w['id']}:{w['cpu']}:{w['memory'].removesuffix('GB')}:"
                 f"{w.get('accelerators', 0)}" for w in rows]
        _, addresses = self.start("tests/standins/standin-worker", *specs)
        for row, address in zip(rows, addresses):
            row["address"] = address
        return addresses

    def start_endpoints(self, service, service_us):
        """Starts a stand-in for each endpoint of a service."""
        rows = service["endpoints"]
        _, addresses = self.start("tests/standins/standin-endpoint",
                                  str(len(rows)), str(service_us))
        for row, address in zip(rows, addresses):
            row["address"] = address
        return addresses

    def start_daemon(self, vm, domain, settings=""):
        path = os.path.join(self.tmp.name, vm + ".toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(f"""
[vm]
id = "{vm}"
domain = "{domain}"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
store = "{self.store}"
vms = "{self.vms}"
[access]
peer_token = "{PEER_TOKEN}"
{settings}
""")
        process, addresses = self.start(
            "curranttackd/curranttackd", "--config", path)
        self.daemons.append((vm, process, addresses, domain))

    def publish_vms(self):
        self.put(f"http://{self.vms}/_vms", {"vms": [
            {"vm": vm, "domain": domain, "address": addresses[2],
             "role": "daemon", "state": "live"}
            for vm, _, addresses, domain in self.daemons]})

    def callers(self, index=0):
        return self.daemons[index][2][0]

    def operators(self, index=0):
        return self.daemons[index][2][1]

    def put(self, url, document):
        request = urllib.request.Request(
            url, json.dumps(document).encode(), method="PUT")
        return urllib.request.urlopen(request, timeout=10).read()

    def post(self, url, document):
        request = urllib.request.Request(
            url, json.dumps(document).encode(), method="POST")
        return json.load(urllib.request.urlopen(request, timeout=20))

    def get(self, url):
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.load(response)

    def put_config(self, area, document):
        self.put(f"http://{self.operators()}/v1/config/{area}?if_revision=0",
                 document)

    def members(self, index=0):
        return self.get(
            f"http://{self.operators(index)}/v1/members")["members"]

    def status(self, index=0):
        return self.get(f"http://{self.operators(index)}/v1/status")

    def metrics(self, index=0):
        with urllib.request.urlopen(
                f"http://{self.operators(index)}/metrics") as response:
            lines = response.read().decode().splitlines()
        return {line.split()[0].removeprefix("currant_"):
                float(line.split()[1])
                for line in lines if not line.startswith("#")}

    @staticmethod
    def until(test, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if test():
                return True
            time.sleep(0.1)
        return False

    def all_alive(self):
        members = self.members()
        return len(members) == len(self.daemons) and all(
            m["state"] == "alive" for m in members)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()
        self.tmp.cleanup()
