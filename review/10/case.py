"""A configuration in which two routes share a host and a prefix (rule CONFIG)."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from cluster import *  # noqa: E402,F403

COUNT = 20


async def case(cluster, record, trouble):
    for name in cluster.names:
        await cluster.launch(name)
    valid = [route("payout", "unsafe", "kassa"), route("stock", "safe", "voorraad")]
    # The same host name: DNS and HTTP do not distinguish upper and lower case (RFC 9110, 4.2.3).
    double = {**route("payout", "unsafe", "voorraad"), "name": "payout-2", "host": HOST.upper()}
    status, _ = await cluster.order("PUT", "/v1/configuration",
                                    configuration(3, valid, ["kassa", "voorraad"]))
    runners = [Runner(cluster, 0, "kassa", "i-7f3a91c2"), Runner(cluster, 1, "voorraad", "i-02d9e6b4")]
    for it in runners:
        await it.start()
    if status != 200 or not await until_served(cluster, "/payout/"):
        raise RuntimeError("the deployment does not serve")
    breaks = []
    status, _ = await cluster.order(
        "PUT", "/v1/configuration",
        configuration(7, [double] + valid if trouble else valid, ["kassa", "voorraad"]))
    record.write(f"operator sent version 7{' with two routes at one place' if trouble else ''}, "
                 f"got {status}")
    if trouble and status == 200:
        breaks.append("CONFIG: an invalid configuration was acknowledged")
    await asyncio.sleep(3.5)  # config_apply_ms is 2,500.
    for n in range(COUNT):
        status, _, _ = await asyncio.wait_for(
            call(cluster.ip("entry0"), cluster.front_port, "POST", "/payout/", b"",
                 [f"X-Cuminfield-Request-Id: payout-{n}", "X-Cuminfield-Deadline-Ms: 2000"], HOST), 4)
        record.write(f"client sent payout-{n}, got {status}")
    wrong = [it for it, *_ in runners[1].runs if it.startswith("payout-")]
    if wrong:
        breaks.append(f"CONFIG: it is in force: {len(wrong)} of {COUNT} payouts ran at the other service")
    return breaks


main(case)
