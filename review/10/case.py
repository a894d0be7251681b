"""One open connection of a machine to the store goes silent, while others and
new ones work; later the configuration changes.  That machine goes by the old
one until its poll on that connection ends by itself."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit  # noqa: E402

CONTACT_S, CONFIG_S = 3.0, 2.0  # contactS, configS
WATCH_S = 12.0


async def case(record, trouble):
    async with kit.Site(record) as site:
        services = ["alpha", "beta"]
        beta = kit.route("r-b", "/b/", "beta")
        site.configure([kit.route("r-a", "/a/", "alpha"), beta], services)
        m = await site.add("zone-a", "alpha", front=True)
        await site.add("zone-a", "beta")
        n = await site.add("zone-b", "alpha")
        await site.add("zone-b", "beta")
        paths = {"alpha": "/a/x", "beta": "/b/x"}
        await site.wait_ready()
        await asyncio.sleep(4)
        for x in site.machines:
            assert (await site.call(x, "GET", paths[x.service])).status == 200
        front = site.store_proxies[m.name]
        if trouble and front.silence(kit.N.CONFIG_PREFIX) != 1:
            raise RuntimeError("the machine does not watch the configuration")
        await asyncio.sleep(CONTACT_S + 0.3)
        site.configure([kit.route("r-a", "/a/", "beta"), beta], services)
        acked = time.monotonic()
        stale = {x.name: [] for x in site.machines}
        while time.monotonic() < acked + WATCH_S:
            for x in site.machines:
                a = await site.call(x, "GET", paths[x.service])
                if paths[x.service] == "/a/x" and any(
                        r[1] == a.ident for y in (m, n)
                        for r in y.upstream.ran):
                    stale[x.name].append(a.sent - acked)
            await asyncio.sleep(0.1)
        late = []
        for name, times in stale.items():
            if times:
                record(f"{name}: last request run by the service of the old "
                       f"version was sent {max(times):.2f} s after the "
                       "acknowledgement of the new one")
            late += [t for t in times if t > CONFIG_S]
        record(f"{len(late)} of them were sent later than configS")
        return len(late)


kit.main(case)
