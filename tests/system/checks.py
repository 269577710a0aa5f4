"""Checks invariants against the time lines of the nodes and the counters of the targets."""
import re

CONFIGURATION_APPLIED = 201


class VersionObserver:
    """Records the versions that each node applies, for every process start of the node."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.applied_versions = {}

    def collect(self):
        """Reads the events of every node that responds; to be called also before a kill, which loses the time line."""
        for node in self.fleet.running_nodes():
            status = node.status()
            if status is None:
                continue
            versions = [event_version(event) for event in node.timeline()
                        if event["event"] == CONFIGURATION_APPLIED]
            self.applied_versions.setdefault((node.host, status["incarnation"]), [])
            self.applied_versions[(node.host, status["incarnation"])] = versions

    def version_regressions(self):
        """Returns the process starts in which an applied version was not higher than the previous one."""
        return [key for key, versions in self.applied_versions.items()
                if any(later <= earlier for earlier, later in zip(versions, versions[1:]))]


def event_version(event):
    match = re.search(r"version=(\d+)", event["detail"])
    return int(match.group(1)) if match else 0


def overloaded_targets(counters):
    """Returns the targets that received more than their slots, cold limit or connections allow, with their counts."""
    keys = ("over_slots", "over_cold_limit", "connections_refused")
    return [(name, " ".join(f"{key}={values[key]}" for key in (*keys, "max_in_flight", "runs")))
            for name, values in counters.items() if any(values[key] for key in keys)]
