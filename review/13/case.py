"""REFUSED: an upstream fails part of its requests after it has run them; the
client is told 503, which promises that they have not run, and lodges again."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-3"))
import kit

CLIENTS = 4


def case(folder):
    with kit.Site(folder) as site:
        site.configure([kit.route("r-lodge", "/lodge/", "lodgement",
                                  "unsafe")], ["factors", "lodgement"])
        front = site.add("factors")
        grey = site.add("lodgement")
        site.add("lodgement", "perth-b")
        site.start()
        time.sleep(3)
        if kit.TROUBLE:
            grey.upstream.send_signal(signal.SIGUSR1)
            site.record("grey", id=grey.ident)
        lodgements, stopped = [], threading.Event()

        def client(number):
            """Lodges, and once more after a promise."""
            count = 0
            while not stopped.is_set():
                count += 1
                body = f"levy-{number}-{count}".encode()
                tries = []
                for _ in range(2):
                    ident, status, fields, _ = kit.call(
                        front, "/lodge/x?ms=50", "POST", body=body)
                    tries.append((ident, status))
                    if status not in (429, 503):
                        break
                    time.sleep(min(float(fields.get("retry-after", 0.2)), 1.6))
                lodgements.append(tries)
                time.sleep(0.1)

        threads = [threading.Thread(target=client, args=(i,))
                   for i in range(CLIENTS)]
        for t in threads:
            t.start()
        time.sleep(8)
        stopped.set()
        for t in threads:
            t.join()
        if not site.nodes_are_up():
            raise kit.CannotRun("a node has ended")
        ran = {r["id"] for m in site.machines for r in m.runs()
               if r["event"] == "run"}
        attempts = [a for tries in lodgements for a in tries]
        if len(attempts) < 50:
            raise kit.CannotRun("too few requests were sent")
        broken = [i for i, status in attempts
                  if status in (408, 421, 429, 503) and i in ran]
        twice = [tries for tries in lodgements
                 if sum(i in ran for i, _ in tries) > 1]
        for i in broken:
            site.record("refused_and_ran", id=i)
        for tries in twice:
            site.record("lodged_twice", ids=",".join(i for i, _ in tries))
        site.record("result", attempts=len(attempts), refused=len(broken),
                    twice=len(twice))
        print(f"attempts: {len(attempts)}; answered with a promise although "
              f"they had run: {len(broken)}; lodgements that so ran twice: "
              f"{len(twice)}")
        return broken


kit.main(case)
