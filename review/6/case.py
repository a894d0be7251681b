"""A node is stopped as planned while its upstream runs requests; a call that
the upstream makes then is passed on, and its connection ends unanswered."""

import asyncio
import pathlib
import signal
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit  # noqa: E402

CALL_TAKES_S = 2.2  # of the upstream that is called; its route allows 8 s


class Lodging(kit.Upstream):
    """Its requests make one call, after `after` ms, as PROTOCOL tells: through
    the outbound address of their own machine, until their own deadline."""

    site = machine = None

    async def run(self, writer, method, path, ident, body):
        arrived, _, fields, _ = self.ran[-1]
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
        end = arrived + int(fields[kit.N.H_TIMEOUT_MS]) / 1000
        await asyncio.sleep(int(query["after"]) / 1000)
        answer = await self.site.call(
            self.machine, "POST", f"/b/pay?ms={query['call']}", b"payment",
            until=end)
        answer.at = time.monotonic()
        self.calls.append(answer)
        good = answer.status == 200
        self.record(f"{self.id}: {ident} ends "
                    f"{'well' if good else 'as its call failed'}")
        writer.write(self.head(200 if good else 500, ident,
                               {"Content-Length": 4}) + b"done")


async def case(record, trouble):
    async with kit.Site(record) as site:
        site.configure([
            kit.route("r-a", "/a/", "alpha", TIMEOUT=20, LATENCY_OBJECTIVE=6),
            kit.route("r-b", "/b/", "beta", "unsafe", TIMEOUT=8),
        ], ["alpha", "beta"])
        m = await site.add("zone-a", "alpha", upstream=Lodging)
        b = await site.add("zone-b", "beta")
        m.upstream.site, m.upstream.machine = site, m
        m.upstream.calls = []
        await site.wait_ready()
        await asyncio.sleep(2.5)
        for _ in range(15):  # usual work, by which the calls are known as calls
            await asyncio.gather(*[
                site.call(b, "POST", "/a/lodge?after=20&call=20")
                for _ in range(4)])
        m.upstream.calls.clear()
        work = [asyncio.create_task(site.call(
            b, "POST", f"/a/lodge?after={after}&call={CALL_TAKES_S * 1000:.0f}",
            timeout_ms=15000)) for after in range(3650, 4010, 15)]
        await asyncio.sleep(0.2)
        stopped = time.monotonic()
        if trouble:
            m.signal(signal.SIGTERM)
            await m.ended()
        answers = await asyncio.gather(*work)
        record(f"answers of the outer requests: {[a.status for a in answers]}")
        lost = [c for c in m.upstream.calls if c.status == 0
                and any(r[1] == c.ident for r in b.upstream.ran)]
        for c in lost:
            record(f"{c.ident}: sent {c.sent - stopped:.2f} s after the "
                   "SIGTERM, passed on to its upstream, cut "
                   f"{c.at - stopped:.2f} s after the SIGTERM, "
                   f"{c.at - c.sent:.2f} s old, unanswered")
        return len([c for c in lost if 3 < c.sent - stopped < 7])


kit.main(case)
