"""Faults that the failure test sets off, as rows of a table: each is a generator that begins, waits, and mends."""
import time

ZONE = "sindos"


def sample_nodes(context, count):
    return context.random.sample(context.fleet.nodes, count)


def kill_third(context):
    """Kills a third of the nodes without warning and starts them again."""
    selected = sample_nodes(context, len(context.fleet.nodes) // 3)
    context.observer.collect()
    for node in selected:
        node.process.kill()
    yield 1.5
    for node in selected:
        context.fleet.start_node(node)
    yield 1.0


def kill_all(context):
    """Kills every node at once and starts them again."""
    context.observer.collect()
    for node in context.fleet.nodes:
        node.process.kill()
    yield 0.3
    for node in context.fleet.nodes:
        context.fleet.start_node(node)
    yield 2.0


def freeze(context):
    """Stops some processes in the middle of their work and wakes them late."""
    selected = sample_nodes(context, 3)
    for node in selected:
        context.suspended_hosts.add(node.host)
        node.process.suspend()
    yield 3.0
    for node in selected:
        node.process.resume()
    yield 0.5


def silence(context):
    """Lets the open connections to some nodes go silent for good; new ones work."""
    for node in sample_nodes(context, 4):
        context.fleet.relay(node).silence()
    yield 2.0


def cut(context):
    """Cuts an availability zone's nodes off and heals the cut."""
    selected = [node for node in context.fleet.nodes if node.zone == ZONE]
    for node in selected:
        context.fleet.relay(node).cut()
    yield 2.5
    for node in selected:
        context.fleet.relay(node).heal()
    yield 0.5


def source_down(context):
    """The platform's configuration service stops answering for a while."""
    context.fleet.platform.set_mode("down")
    yield 3.0
    context.fleet.platform.set_mode("ok")


def source_stale(context):
    """The platform's service goes back to an old answer while nodes restart beside it."""
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
    """A read gets the newer parts with the older manifest."""
    context.fleet.platform.set_mode("crossing")
    context.fleet.platform.stage_part("zones", context.fleet.platform.read_part("zones") + "\n; crossing edit\n")
    context.fleet.platform.commit()
    yield 1.0
    context.fleet.platform.set_mode("ok")


def bad_version(context):
    """A malformed version is published; the next one is good."""
    good = context.fleet.platform.read_part("zones")
    context.fleet.platform.stage_part("zones", good + "\n[zone broken\n")
    context.fleet.platform.commit()
    yield 1.0
    context.fleet.platform.stage_part("zones", good)
    context.fleet.platform.commit()


def zone_race(context):
    """Operators take an availability zone out and bring it back within a second, two edits at once."""
    platform = context.fleet.platform
    platform.set_zone(ZONE, "out")
    platform.set_zone("epanomi", "out")
    yield 0.5
    platform.set_zone("epanomi", "in")
    platform.set_zone(ZONE, "in")
    yield 0.5


def zone_out(context):
    """An availability zone is out for a while; nothing may run there after three seconds."""
    context.fleet.platform.set_zone(ZONE, "out")
    yield 3.0
    before = context.count_zone_runs(ZONE)
    yield 1.5
    context.runs_after_grace += context.count_zone_runs(ZONE) - before
    context.fleet.platform.set_zone(ZONE, "in")
    yield 0.5


def target_reset(context):
    """Some targets break off in the middle of their answers."""
    selected = context.random.sample(sorted(context.fleet.targets), 3)
    for name in selected:
        context.fleet.targets[name].set_mode("reset")
    yield 1.5
    for name in selected:
        context.fleet.targets[name].set_mode("ok")
    yield 0.5


def target_cold(context):
    """Some targets start cold again without warning."""
    for name in context.random.sample(sorted(context.fleet.targets), 4):
        context.fleet.targets[name].set_mode("cold")
    yield 2.0


def target_silent(context):
    """A target takes requests and never answers."""
    name = context.random.choice(sorted(context.fleet.targets))
    context.fleet.targets[name].set_mode("silent_after_run")
    yield 2.0
    context.fleet.targets[name].set_mode("ok")
    yield 0.5


def leaving_host(context):
    """The platform lists a host as leaving; its target may get nothing new after three seconds."""
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
    """A node is asked to stop and is started again; no call may be cut."""
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
    """Runs the named faults side by side until all have mended."""
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
