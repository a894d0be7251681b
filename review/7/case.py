"""An upstream leaves during an outage of the store; its node is stopped and
started; a heartbeat from before the leave arrives late."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit  # noqa: E402

OUTAGE_S = 4.5  # platform_down in the site file
SERVES_S = 9.0  # the upstream serves after the acknowledgement


async def case(record, trouble):
    async with kit.Site(record) as site:
        site.configure([kit.route("r-a", "/a/", "alpha"),
                        kit.route("r-b", "/b/", "beta")], ["alpha", "beta"])
        m = await site.add("zone-a", "alpha")
        n = await site.add("zone-b", "alpha")
        b = await site.add("zone-b", "beta")
        await site.wait_ready()
        await asyncio.sleep(3)
        for machine in (m, n, b):
            assert (await site.call(machine, "GET", "/a/x")).status == 200
        down_at = time.monotonic()
        if trouble:
            site.store.set_mode("silent")
        m.stop_beating()
        late = m.heartbeat()
        record("the upstream's last heartbeat is on its way")
        await asyncio.sleep(0.3)
        left = await m.leave()
        acked = time.monotonic()
        record(f"leave of {m.upstream.id} acknowledged: {left}")
        if not left:
            raise RuntimeError("the leave was not acknowledged")
        m.signal(signal.SIGTERM)
        await m.ended()
        await asyncio.sleep(0.2)
        m.start()
        while not await m.send_beat(late):
            await asyncio.sleep(0.1)
        record("the heartbeat from before the leave has arrived, "
               f"{time.monotonic() - down_at:.1f} s late")
        started = time.monotonic()
        await asyncio.sleep(max(0, down_at + OUTAGE_S - time.monotonic()))
        if trouble:
            site.store.set_mode("up")
        # all machines are in touch again 3 s after the start and the outage
        await asyncio.sleep(3.2)
        first = time.monotonic()
        calls = []
        while time.monotonic() < acked + SERVES_S:
            calls += await asyncio.gather(*[
                site.call(x, "GET", "/a/y?ms=2") for x in (b, n, m) * 2])
            await asyncio.sleep(0.1)
        sent = {c.ident: c.sent for c in calls}
        late_runs = [r for r in m.upstream.ran if r[1] in sent
                     and sent[r[1]] > acked + site.drain_s]
        record(f"asked from {first - acked:.1f} s to "
               f"{time.monotonic() - acked:.1f} s after the acknowledgement, "
               f"{first - started:.1f} s after the node's start: "
               f"{len(late_runs)} of {len(calls)} requests ran at the "
               "upstream that has left")
        return len(late_runs)


kit.main(case)
