"""The last tenant is removed by a new configuration (rule ROUTE)."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from cluster import *  # noqa: E402,F403

REVOKED, UNKNOWN, KEPT = "n2ctnfzs989anu6wsjnb", "zz0never0in0any0config", "i9n73hh2b9wu3fexd9dn"
COUNT = 20


async def ask(cluster, record, request, key):
    headers = [f"X-Cuminfield-Request-Id: {request}", "X-Cuminfield-Deadline-Ms: 2000",
               f"X-Api-Key: {key}"]
    status, _, _ = await asyncio.wait_for(
        call(cluster.ip("entry0"), cluster.front_port, "POST", "/payout/", b"", headers, HOST), 4)
    record.write(f"client sent {request} with key {key}, got {status}")
    return status


async def case(cluster, record, trouble):
    for name in cluster.names:
        await cluster.launch(name)

    def config(version, tenants):
        return configuration(version, [route("payout", "unsafe", "kassa")], ["kassa"], tenants)

    both = [tenant("hule930", [REVOKED]), tenant("mipo112", [KEPT])]
    status, _ = await cluster.order("PUT", "/v1/configuration", config(3, both))
    runner = Runner(cluster, 0, "kassa", "i-7f3a91c2")
    await runner.start()
    if status != 200 or not await until_served(cluster, "/payout/", [f"X-Api-Key: {KEPT}"]):
        raise RuntimeError("the deployment does not serve")
    # Tenants leave, one with each version. Without the disruption the second one stays.
    versions = [(7, both[1:])] + ([(9, [])] if trouble else [])
    for version, tenants in versions:
        status, _ = await cluster.order("PUT", "/v1/configuration", config(version, tenants))
        record.write(f"operator sent version {version} with tenants "
                     f"{[it['name'] for it in tenants]}, got {status}")
        if status != 200:
            return []  # Refused: nothing was opened.
        await asyncio.sleep(3.5)  # config_apply_ms is 2,500.
    for n in range(COUNT):
        await ask(cluster, record, f"unknown-{n}", UNKNOWN)
        await ask(cluster, record, f"revoked-{n}", REVOKED)
    ran = [request for request, *_ in runner.runs]
    return ([f"ROUTE: {it} ran, whose key no configuration ever held"
             for it in ran if it.startswith("unknown-")] +
            [f"CONFIG: {it} ran with a key that version 7 dropped"
             for it in ran if it.startswith("revoked-")])


main(case)
