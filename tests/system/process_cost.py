"""Processor time and memory of a process, read from /proc."""
import os
import pathlib


def cpu_seconds(pid):
    """Returns the user and system time of all threads in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    """Returns the resident memory in units of 1024 KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
