"""Processor time and memory of processes, from /proc."""

import os

TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as f:
        return int(f.read().split()[1]) * PAGE


def fit(points):
    """Least squares over (x, y): returns (intercept, slope)."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    sxy = sum((x - mx) * (y - my) for x, y in points)
    slope = sxy / sxx
    return my - slope * mx, slope
