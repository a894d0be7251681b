"""An upstream breaks off a few of its longer answers; requests that clients
had sent behind them on their connections ran elsewhere, and get no answer."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit  # noqa: E402

PAIRS = 400
BROKEN_EACH = 25  # one answer in so many is broken off: 4 in 100
SIZE = 200000     # bytes of a long answer


class Long(kit.Upstream):
    broken = False

    async def run(self, writer, method, path, ident, body):
        number = len(self.ran)
        await asyncio.sleep(0.02)
        answer = b"b" * SIZE
        head = self.head(200, ident, {"Content-Length": SIZE})
        if self.broken and number % BROKEN_EACH == 0:
            self.record(f"{self.id}: breaks off the answer to {ident}")
            writer.write(head + answer[:SIZE * 3 // 4])
            await writer.drain()
            await asyncio.sleep(0.03)
            raise kit.Closed
        writer.write(head + answer)


async def pair(site, machine):
    """A long request and a short one behind it on a kept connection.  Return
    (the ids, the statuses; 0 for no answer)."""
    ids, statuses = [], []
    reader, writer = await asyncio.open_connection(*machine.outbound,
                                                   limit=1 << 20)
    try:
        for path in ("/long/x", "/short/x"):
            site.attempts += 1
            ids.append(f"p{site.attempts:04x}")
            writer.write(kit.message(f"GET {path} HTTP/1.1", {
                "Host": "app.example", kit.N.H_REQUEST_ID: ids[-1],
                kit.N.H_TIMEOUT_MS: 5000}))
        site.record(f"client on {machine.name}: {ids[0]} GET /long/x, "
                    f"{ids[1]} GET /short/x on one connection")
        for _ in ids:
            first, fields = await kit.read_head(reader)
            await kit.read_body(reader, fields)
            statuses.append(int(first.split(" ")[1]))
    except (kit.Closed, OSError):
        statuses += [0] * (2 - len(statuses))
    finally:
        writer.close()
    site.record(f"client on {machine.name}: {ids} answered {statuses}")
    return ids, statuses


async def case(record, trouble):
    async with kit.Site(record) as site:
        site.configure([kit.route("r-l", "/long/", "alpha"),
                        kit.route("r-s", "/short/", "beta")],
                       ["alpha", "beta"])
        a = await site.add("zone-a", "alpha", upstream=Long)
        await site.add("zone-b", "beta")
        c = await site.add("zone-b", "gamma")
        await site.wait_ready()
        await asyncio.sleep(3)
        sound = site.machines[1].upstream
        a.upstream.broken = trouble
        results = []
        for _ in range(PAIRS // 10):
            results += await asyncio.gather(*[pair(site, c) for _ in range(10)])
        ran = {r[1] for r in sound.ran}
        lost = [ids[1] for ids, statuses in results
                if statuses[1] == 0 and ids[1] in ran]
        broken = sum(1 for _, statuses in results if statuses[0] == 0)
        record(f"long answers broken off: {broken} of {len(results)}; "
               f"requests run by the sound upstream {sound.id} whose "
               f"connection was closed without an answer: {lost}")
        return len(lost) if len(lost) > 3 else 0


kit.main(case)
