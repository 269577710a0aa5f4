"""A zone's three backends end together while clients poll one address; later all their requests are refused."""
import pathlib
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins_3 import TROUBLE, Backend, CannotRun, Fleet, call, route  # noqa: E402  pylint: disable=wrong-import-position

SERVICE, WORK_S, DOWN_S, HEARTBEAT_S, STABLE_WINDOW_S, JUDGED_S = "tracks", 0.1, 4.5, 1.5, 3, 20
CLIENTS, PAUSE_S, COLD_S = 72, 0.05, 3.0


class ColdBackend(Backend):
    """A backend that has come back: it says for how long it is still cold."""

    def record(self, **changes):
        left_ms = max(0.0, COLD_S * 1000 - (time.time() * 1000 - self.born))
        return super().record(**{"cold-remaining-ms": round(left_ms), **changes})


def main():
    record = open(pathlib.Path(__file__).parent / "record.txt", "w", encoding="utf-8")
    start, calls, stop = time.monotonic(), [], threading.Event()

    def note(text):
        record.write(f"{time.monotonic() - start:.3f} {text}\n")
        record.flush()

    fleet = Fleet([SERVICE] * 9, zones=("a", "b", "c"))
    try:
        alive = [fleet.backend(Backend, machine, f"i-{index}", work_s=WORK_S)
                 for index, machine in enumerate(fleet.machines)]

        def beats():
            while not stop.wait(HEARTBEAT_S):
                for backend in list(alive):
                    backend.beat()

        for backend in alive:
            backend.beat()
        threading.Thread(target=beats, daemon=True).start()
        fleet.configure(4, [route("/first/", SERVICE)])
        fleet.start()
        fleet.configure(5, [route("/first/", SERVICE), route("/later/", SERVICE)])
        note("version 5 with the route /later/ is acknowledged")
        time.sleep(3)

        def client(number):
            count = 0
            while not stop.is_set():
                count += 1
                later = number % 2 == 1
                path = "/later/board" if later else f"/first/{number}-{count}"
                sent = time.monotonic()
                status, _, body = call(fleet.machines[(number + count) % 9], path, f"{number:x}c{count:x}")
                calls.append((sent, later, status, body))
                time.sleep(PAUSE_S)

        for number in range(CLIENTS):
            threading.Thread(target=client, args=(number,), daemon=True).start()
        time.sleep(3)
        trouble_at = time.monotonic()
        ended = [backend for backend in alive if backend.machine.zone == "a"]
        if TROUBLE:
            for backend in ended:
                alive.remove(backend)
                backend.end()
            note("the three backends of zone a end")
            time.sleep(DOWN_S)
            for backend in ended:
                back = fleet.backend(ColdBackend, backend.machine, f"{backend.instance}-again", work_s=WORK_S)
                back.beat()
                alive.append(back)
                fleet.store.remove(f"servers/{backend.instance}")
            note("they are back, with new ids; the old entries are removed")
        else:
            time.sleep(DOWN_S)
        from_s = trouble_at + DOWN_S + STABLE_WINDOW_S
        time.sleep(from_s + JUDGED_S - time.monotonic())
        stop.set()
        time.sleep(1)
        shares = {}
        for later in (False, True):
            judged = [status for sent, is_later, status, _ in calls
                      if is_later == later and from_s <= sent < from_s + JUDGED_S]
            served = sum(status == 200 for status in judged)
            shares[later] = (len(judged), served, served / max(len(judged), 1))
            note(f"steady state of {JUDGED_S} s from {from_s - start:.1f}: route /{'later' if later else 'first'}/ "
                 f"asked {len(judged)}, served {served}")
        for second in range(int(trouble_at - start) - 2, int(from_s - start) + JUDGED_S, 2):
            counts = {}
            for sent, later, status, _ in calls:
                if second <= sent - start < second + 2:
                    key = f"{'later' if later else 'first'} {status}"
                    counts[key] = counts.get(key, 0) + 1
            note(f"sent from second {second}: {counts}")
        refused = [body for sent, later, status, body in calls if later and status == 503]
        if refused:
            note(f"last refusal: {refused[-1]!r}")
        print({("later" if later else "first"): share for later, share in shares.items()})
        if shares[False][0] < 20 or shares[True][0] < 20 or shares[False][2] < 0.5:
            return 2
        return 1 if shares[True][2] < shares[False][2] / 4 else 0
    finally:
        stop.set()
        fleet.close()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as fault:
        print(f"can't run: {fault}")
        sys.exit(2)
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        sys.exit(2)
