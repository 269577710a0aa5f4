"""A route with a prefix of over 256 characters is added; its requests are run by the service of a shorter prefix."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import TROUBLE, Client, configuration, route, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
HOST, SHORT = "jepu9.example", "/puka111/"
LONG = SHORT + "segment-of-a-path/" * (16 if TROUBLE else 8)
SERVICES = ["wuno96b", "kafi81c"]
REQUESTS = 60


async def main(make):
    deployment = make(FOLDER, [SERVICES[index // 3 % 2] for index in range(6)])
    record = deployment.record
    await deployment.start(configuration(4, [route("r-0", HOST, "/doni7/", SERVICES[0])], SERVICES))
    client = Client(record)
    await deployment.store.put("op/config", configuration(7, [
        route("r-0", HOST, "/doni7/", SERVICES[0]), route("r-1", HOST, SHORT, SERVICES[0]), route("r-2", HOST, LONG, SERVICES[1], "non_idempotent")], SERVICES))
    record(f"the route {LONG} leads to {SERVICES[1]}")
    await asyncio.sleep(4)
    statuses = []
    for number in range(REQUESTS):
        machine = deployment.machines[number % 6]
        statuses.append((await client.call(machine, "POST", HOST, LONG + f"{number}", b"booking"))[1])
    runs = [(backend.service, run) for backend in deployment.backends for run in backend.runs]
    wrong = sum(service != SERVICES[1] for service, run in runs)
    record.say(f"prefix of {len(LONG)} characters: answers {sorted(set(statuses), key=str)}; of {len(runs)} runs {wrong} "
               f"by a service to which no configuration lets the request go")
    record.say("ROUTE: broken" if wrong else "ROUTE: held")
    return 1 if wrong else 0

run_case(main)
