#!/usr/bin/env python3
"""Runs ctest, prints its report and compares the failures with the list of known failures.

Usage: run_tests.py BUILD_DIRECTORY KNOWN_RED_FILE

Each entry of the file starts with "test: NAME". A listed test may fail; any other
failure, and a run without tests, makes the exit code 1.
"""
import re
import subprocess
import sys


def read_known_failures(path):
    with open(path, encoding="utf-8") as file:
        return {m.group(1) for m in re.finditer(r"^test: (\S+)", file.read(), re.M)}


def main():
    build, known_failures_file = sys.argv[1:3]
    run = subprocess.run(["ctest", "--test-dir", build, "--output-on-failure", "-j", "4"],
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    print(run.stdout)
    results = re.findall(r"Test +#\d+: (\S+) \.+[ *]*(Passed|Failed|Timeout|Not Run|Exception|Subprocess aborted)",
                         run.stdout)
    known_failures = read_known_failures(known_failures_file)
    failed = [name for name, verdict in results if verdict != "Passed"]
    unexpected = [name for name in failed if name not in known_failures]
    for name in failed:
        print(("known red: " if name in known_failures else "FAILED: ") + name)
    for name in sorted(known_failures - set(failed)):
        print("listed in KNOWN-RED.txt but passed: " + name)
    passed = len(results) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not results or (run.returncode and not failed) else 0


if __name__ == "__main__":
    sys.exit(main())
