"""Case 5: connections that go silent in one direction leave the core without a leader for seconds."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, TROUBLE, Deployment, Runner, now, run

ZONES = ["zone-a", "zone-b", "zone-c"]
CONTACT, ACK = 3.0, 4.0  # contact_window_ms, ack_ms
ROUNDS, BETWEEN = 4, 20.0


def configuration(version):
    return {"version": version, "services": [{"name": "kassa", "health_path": "/health", "max_conns": 110,
                                              "protocol": "h1", "tls": False}],
            "routes": [{"name": "payout", "host": "review.example", "path_prefix": "/payout/",
                        "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 120, "priority": 0,
                        "service": "kassa", "max_attempts": 1, "public": True}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


async def main():
    d = Deployment(os.path.dirname(os.path.abspath(__file__)), ZONES, ZONES)
    await d.start(configuration(1))
    await asyncio.gather(*(Runner(d, n, "kassa", ZONES[n]).start() for n in range(3)))
    await asyncio.sleep(10)
    version, waits = 1, []
    for n in range(ROUNDS):
        if TROUBLE:
            d.log("one connection between each two control hosts goes silent")
            for x, y in ((0, 1), (1, 2), (2, 0)):
                d.links[(f"control-{x}", f"control-{y}")].silence()
        at = now()
        await asyncio.sleep(CONTACT)
        while now() < at + BETWEEN:
            version += 1
            sent = now()
            d.log(f"configuration {version} sent")
            status, host = await d.order("PUT", "/v1/configuration", configuration(version), limit=15)
            waits.append(now() - sent if status == 200 else 99)
            d.log(f"configuration {version}: {status} after {waits[-1]:.3f} s by {host and host.name}")
            await asyncio.sleep(0.5)
    late = [it for it in waits if it > ACK]
    text = (f"{len(waits)} configurations, sent {CONTACT:.0f} s or more after the last disruption; {len(late)} had "
            f"no acknowledgement after {ACK:.0f} s, the slowest after {max(waits):.1f} s")
    d.log(text)
    print(text)
    d.end(BROKEN if late else HELD)


run(main)
