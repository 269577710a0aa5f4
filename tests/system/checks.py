"""Checks of what must always hold, from the nodes' time lines, the targets' counts and the callers' answers."""
import re

CONFIGURATION_APPLIED = 201


class VersionObserver:
    """Keeps each node's events across its restarts."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.applied_versions = {}

    def collect(self):
        """Takes the events of every node that answers; call it before a node is killed as well."""
        for node in self.fleet.running_nodes():
            status = node.status()
            if status is None:
                continue
            versions = [event_version(event) for event in node.timeline()
                        if event["event"] == CONFIGURATION_APPLIED]
            self.applied_versions.setdefault((node.host, status["incarnation"]), [])
            self.applied_versions[(node.host, status["incarnation"])] = versions

    def version_regressions(self):
        """Process starts during which an applied version was not above the one before."""
        return [key for key, versions in self.applied_versions.items()
                if any(later <= earlier for earlier, later in zip(versions, versions[1:]))]


def event_version(event):
    match = re.search(r"version=(\d+)", event["detail"])
    return int(match.group(1)) if match else 0


def overloaded_targets(counters):
    """Targets that were given more than they can bear, each with its counts."""
    keys = ("over_slots", "over_cold_limit", "connections_refused")
    return [(name, " ".join(f"{key}={values[key]}" for key in (*keys, "max_in_flight", "runs")))
            for name, values in counters.items() if any(values[key] for key in keys)]
