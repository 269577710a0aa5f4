"""Faults that failures.py injects.

Each fault is a generator: it injects the fault, yields the seconds to wait, and then removes the fault.
"""
import time

ZONE = "sindos"


def sample_nodes(context, count):
    return context.random.sample(context.fleet.nodes, count)


def kill_third(context):
    """Kills a third of the nodes with SIGKILL and restarts them."""
    selected = sample_nodes(context, len(context.fleet.nodes) // 3)
    context.observer.collect()
    for node in selected:
        node.process.kill()
    yield 1.5
    for node in selected:
        context.fleet.start_node(node)
    yield 1.0


def kill_all(context):
    """Kills all nodes at the same time with SIGKILL and restarts them."""
    context.observer.collect()
    for node in context.fleet.nodes:
        node.process.kill()
    yield 0.3
    for node in context.fleet.nodes:
        context.fleet.start_node(node)
    yield 2.0


def freeze(context):
    """Suspends three node processes (SIGSTOP) under load and resumes them after 3 s."""
    selected = sample_nodes(context, 3)
    for node in selected:
        context.suspended_hosts.add(node.host)
        node.process.suspend()
    yield 3.0
    for node in selected:
        node.process.resume()
    yield 0.5


def silence(context):
    """Silences the open connections to four nodes permanently without closing them; new connections work."""
    for node in sample_nodes(context, 4):
        context.fleet.relay(node).silence()
    yield 2.0


def cut(context):
    """Closes all connections to the nodes of an availability zone and refuses new ones for 2.5 s."""
    selected = [node for node in context.fleet.nodes if node.zone == ZONE]
    for node in selected:
        context.fleet.relay(node).cut()
    yield 2.5
    for node in selected:
        context.fleet.relay(node).heal()
    yield 0.5


def source_down(context):
    """The platform's configuration service is down for 3 s."""
    context.fleet.platform.set_mode("down")
    yield 3.0
    context.fleet.platform.set_mode("ok")


def source_stale(context):
    """The platform's service serves an older version again while a node restarts."""
    fleet = context.fleet
    fleet.platform.set_mode("stale")
    fleet.platform.stage_part("zones", fleet.platform.read_part("zones") + "\n; edit while stale\n")
    fleet.platform.commit()
    node = sample_nodes(context, 1)[0]
    context.observer.collect()
    node.process.kill()
    yield 0.2
    fleet.start_node(node)
    yield 2.5
    fleet.platform.set_mode("ok")


def crossing(context):
    """A read returns an older manifest together with newer parts."""
    context.fleet.platform.set_mode("crossing")
    context.fleet.platform.stage_part("zones", context.fleet.platform.read_part("zones") + "\n; crossing edit\n")
    context.fleet.platform.commit()
    yield 1.0
    context.fleet.platform.set_mode("ok")


def bad_version(context):
    """Publishes a malformed version, and a valid one after it."""
    good = context.fleet.platform.read_part("zones")
    context.fleet.platform.stage_part("zones", good + "\n[zone broken\n")
    context.fleet.platform.commit()
    yield 1.0
    context.fleet.platform.stage_part("zones", good)
    context.fleet.platform.commit()


def zone_race(context):
    """Takes two availability zones out with separate edits and brings them back within a second."""
    platform = context.fleet.platform
    platform.set_zone(ZONE, "out")
    platform.set_zone("epanomi", "out")
    yield 0.5
    platform.set_zone("epanomi", "in")
    platform.set_zone(ZONE, "in")
    yield 0.5


def zone_out(context):
    """Takes an availability zone out; three seconds later no request may start in it."""
    context.fleet.platform.set_zone(ZONE, "out")
    yield 3.0
    before = context.count_zone_runs(ZONE)
    yield 1.5
    context.runs_after_grace += context.count_zone_runs(ZONE) - before
    context.fleet.platform.set_zone(ZONE, "in")
    yield 0.5


def target_reset(context):
    """Three targets reset the connection in the middle of their responses."""
    selected = context.random.sample(sorted(context.fleet.targets), 3)
    for name in selected:
        context.fleet.targets[name].set_mode("reset")
    yield 1.5
    for name in selected:
        context.fleet.targets[name].set_mode("ok")
    yield 0.5


def target_cold(context):
    """Four targets restart cold without notice."""
    for name in context.random.sample(sorted(context.fleet.targets), 4):
        context.fleet.targets[name].set_mode("cold")
    yield 2.0


def target_silent(context):
    """One target runs requests and never responds."""
    name = context.random.choice(sorted(context.fleet.targets))
    context.fleet.targets[name].set_mode("silent_after_run")
    yield 2.0
    context.fleet.targets[name].set_mode("ok")
    yield 0.5


def leaving_host(context):
    """The platform lists a host as leaving; three seconds later no new request may start at its target."""
    fleet = context.fleet
    node = sample_nodes(context, 1)[0]
    fleet.platform.set_leaving(node.host, True)
    yield 3.0
    before = fleet.targets[node.target_name].counters()["runs"]
    yield 1.5
    context.runs_after_grace += fleet.targets[node.target_name].counters()["runs"] - before
    fleet.platform.set_leaving(node.host, False)
    yield 0.5


def planned_stop(context):
    """Stops a node in a planned way (SIGTERM) and restarts it; no call may fail because of it."""
    node = sample_nodes(context, 1)[0]
    context.observer.collect()
    node.stopping = True
    yield 0.3
    if node.process.stop(timeout_s=8) not in (0, -9):
        context.extra_breaches.append(f"{node.host} did not stop as planned")
    context.fleet.start_node(node)
    yield 1.0
    node.stopping = False


FAULTS = {fault.__name__: fault for fault in (
    kill_third, kill_all, freeze, silence, cut, source_down, source_stale, crossing, bad_version, zone_race,
    zone_out, target_reset, target_cold, target_silent, leaving_host, planned_stop)}


def run_faults(context, names):
    """Runs the named faults concurrently until all are removed."""
    running = []
    for name in names:
        running.append([time.monotonic(), FAULTS[name](context)])
    while running:
        running.sort(key=lambda entry: entry[0])
        resume_at, fault = running.pop(0)
        time.sleep(max(0.0, resume_at - time.monotonic()))
        delay_s = next(fault, None)
        if delay_s is not None:
            running.append([time.monotonic() + delay_s, fault])
