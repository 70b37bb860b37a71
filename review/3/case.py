"""Case 3: an entry host goes on asking control hosts that were replaced, and misses configurations."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, TROUBLE, Client, Deployment, Runner, now, run

ZONES = ["zone-a", "zone-b", "zone-c"]
APPLY = 2.5     # config_apply_ms
CONTACT = 3.0   # contact_window_ms
REPLACED_AFTER = 1.0
SETTLE = 10.0   # Between two disruptions; a new machine counts as lost for catch_up_s, 4 s.
WATCH = 45.0


def configuration(version):
    """Each version adds a route and keeps the newest 30."""
    routes = [{"name": f"r{n}", "host": "review.example", "path_prefix": f"/r{n}/", "kind": "safe",
               "timeout_ms": 2000, "target_latency_ms": 200, "priority": 0, "service": "kassa",
               "max_attempts": 2, "public": True} for n in range(max(1, version - 30), version + 1)]
    return {"version": version, "services": [{"name": "kassa", "health_path": "/health",
                                              "max_conns": 110, "protocol": "h1", "tls": False}],
            "routes": routes,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


async def main():
    d = Deployment(os.path.dirname(os.path.abspath(__file__)), ZONES,
                   ["zone-a"] * 3 + ["zone-b"] * 2 + ["zone-c"] * 3, later=["zone-a", "zone-a"])
    await d.start(configuration(1))
    runners = [Runner(d, n, "kassa", ZONES[n % 3]) for n in range(3)]
    await asyncio.gather(*(it.start() for it in runners))
    acknowledged, stale, answers = [(1, now())], [], {}
    stop, calm_since = asyncio.Event(), [now()]

    async def operator():
        version = 1
        while not stop.is_set():
            version += 1
            status, host = await d.order("PUT", "/v1/configuration", configuration(version), limit=8)
            if status == 200:
                acknowledged.append((version, now()))
                d.log(f"configuration {version} acknowledged by {host.name}")
            await asyncio.sleep(0.4)

    async def probe(node):
        """Sends requests to one node on the newest route that must be in force there."""
        c = Client(d, f"probe-{node.name}", node.zone, fixed=node)
        while not stop.is_set():
            due = max((n for n, at in acknowledged if at + APPLY < now()), default=0)
            if due:
                sent = now()
                request, _, status = await c.send("POST", f"/r{due}/x")
                answers[status] = answers.get(status, 0) + 1
                in_touch = sent - calm_since[0] > CONTACT
                if status == 404 and in_touch:
                    age = sent - dict(acknowledged)[due]
                    stale.append((node.name, due, age))
                    d.log(f"STALE {request}: {node.name} answers 404 for route r{due}, "
                          f"acknowledged {age:.3f} s before")
            await asyncio.sleep(0.05)
        c.close()

    await asyncio.sleep(4)
    tasks = [asyncio.create_task(operator())] + [asyncio.create_task(probe(it)) for it in d.entries]
    await asyncio.sleep(2)
    if TROUBLE:
        chain = [d.controls[0]] + d.later
        for old, new in zip(chain, d.later + [None]):
            calm_since[0] = now() + 1000
            await d.replace(old, new, REPLACED_AFTER)
            calm_since[0] = now()
            if new:
                await asyncio.sleep(SETTLE)
    await asyncio.sleep(WATCH if TROUBLE else WATCH + 2 * SETTLE)
    stop.set()
    await asyncio.gather(*tasks)
    worst = max((age for _, _, age in stale), default=0)
    nodes = sorted({name for name, _, _ in stale})
    text = (f"{len(acknowledged)} configurations acknowledged, answers {answers}; {len(stale)} requests were "
            f"refused with 404 by {nodes} though their route was acknowledged up to {worst:.1f} s before")
    d.log(text)
    print(text)
    d.end(BROKEN if stale else HELD)


run(main)
