"""Runs all test programs in parallel and counts their cases.

A case that KNOWN-RED.txt lists may fail; it is printed and counted apart.
"""

import concurrent.futures
import glob
import json
import os
import subprocess
import sys
import tempfile

PARALLEL = 4
TIMEOUT_S = 500


def cases_of(program):
    listing = subprocess.run([program, "--gtest_list_tests"],
                             capture_output=True, text=True, check=True)
    suite = ""
    for line in listing.stdout.splitlines():
        if not line.startswith(" ") and "." in line:
            suite = line.split("#")[0].strip()
        elif line.startswith("  "):
            yield suite + line.split("#")[0].strip()


def jobs_of(program):
    """Fault tests start many processes, so each case runs on its own."""
    if "/fault/" not in program and "/soak/" not in program:
        return [(program, "*")]
    return [(program, case) for case in cases_of(program)]


def run(job):
    program, case = job
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        try:
            result = subprocess.run(
                [program, f"--gtest_filter={case}", "--gtest_brief=1",
                 f"--gtest_output=json:{report}"],
                capture_output=True, text=True, timeout=TIMEOUT_S)
            output = result.stdout + result.stderr
        except subprocess.TimeoutExpired:
            return [], [f"{os.path.basename(program)}: {case}"], "timeout\n"
        passed, failed = [], []
        try:
            with open(report, encoding="utf-8") as f:
                suites = json.load(f)["testsuites"]
        except FileNotFoundError:
            return [], [f"{os.path.basename(program)}: {case}"], output
        for suite in suites:
            for test in suite["testsuite"]:
                name = f"{suite['name']}.{test['name']}"
                (failed if "failures" in test else passed).append(name)
        return passed, failed, output if failed else ""


def known_red():
    try:
        with open("KNOWN-RED.txt", encoding="utf-8") as f:
            return {line.split()[1] for line in f
                    if line.startswith("test: ")}
    except FileNotFoundError:
        return set()


def main():
    build = sys.argv[1]
    programs = sorted(
        p for p in glob.glob(os.path.join(build, "tests/*/test_*"))
        if os.access(p, os.X_OK) and os.path.isfile(p))
    os.environ["CURRANT_BUILD"] = os.path.abspath(build)
    jobs = [job for program in programs for job in jobs_of(program)]
    passed, failed = [], []
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for ok, bad, output in pool.map(run, jobs):
            passed += ok
            failed += bad
            print(output, end="")
    red = known_red()
    for name in failed:
        print(f"{'known red' if name in red else 'FAILED'}: {name}")
    new = [name for name in failed if name not in red]
    print(f"{len(passed)} passed, {len(new)} failed")
    return 1 if new or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
