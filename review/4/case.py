"""Case 4: the allowance of a tenant is granted a second time after the machine that served it is killed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, TROUBLE, Client, Deployment, Runner, now, run

ZONES = ["zone-a", "zone-b", "zone-c"]
WINDOW, OVERSHOOT, SLACK = 8.0, 0.1, 140000  # quota_window_s, quota_overshoot, quota_slack
RATE = BURST = 60000                         # Tokens a second, tokens.
TOKENS = 2000                                # Of one request: 1,900 of the prompt and 100 at most out.
HOT = 7.0                                    # hot_tenant: times the usual; the quota is 1.8 times it.
DOWN = 3.5                                   # node_kill: for_s.


def configuration():
    return {"version": 7, "services": [{"name": "taxateur", "health_path": "/health", "max_conns": 620,
                                        "protocol": "h1", "tls": False}],
            "routes": [{"name": "quote", "host": "review.example", "path_prefix": "/quote/",
                        "kind": "stream", "timeout_ms": 12000, "target_latency_ms": 400, "priority": 0,
                        "service": "taxateur", "max_attempts": 1, "public": False, "sticky": True,
                        "resumable": False, "gap_goal_ms": 300}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "big", "api_keys": ["key-of-big"], "unit": "token_stream",
                         "plain_tokens": 200, "rate_per_s": RATE, "burst": BURST},
                        {"name": "small", "api_keys": ["key-of-small"], "unit": "token_stream",
                         "plain_tokens": 200, "rate_per_s": RATE, "burst": BURST}]}


async def main():
    d = Deployment(os.path.dirname(os.path.abspath(__file__)), ZONES,
                   ["zone-a"] * 3 + ["zone-b"] * 2 + ["zone-c"] * 3)
    await d.start(configuration())
    runners = [Runner(d, n, "taxateur", ZONES[n % 3], slots=14, work=0.02, events=2) for n in range(12)]
    sent, runs = {}, []

    def on_run(runner, request, at, headers):
        if headers.get("x-cuminfield-tenant") == "big":
            runs.append((sent[request], at))

    for it in runners:
        it.on_run = on_run
    await asyncio.gather(*(it.start() for it in runners))
    stop, counts = asyncio.Event(), {}

    async def client(name, zone, key, per_second):
        """One connection of a client. It repeats no request; each is a new one of its users."""
        c = Client(d, name, zone)
        while not stop.is_set():
            request, node, status = await c.send(
                "POST", "/quote/x", timeout=5.0,
                headers=[f"X-Api-Key: {key}", "X-Cuminfield-Model: m",
                         f"X-Cuminfield-Token-Count: {TOKENS - 100},100",
                         f"X-Cuminfield-Prompt-Prefix: {d.random.getrandbits(32):08x}:{TOKENS - 100}"],
                on_sent=lambda request, node: sent.__setitem__(request, now()))
            if key == "key-of-big":
                counts[(node.name, status)] = counts.get((node.name, status), 0) + 1
            await asyncio.sleep(d.random.expovariate(per_second))
        c.close()

    await asyncio.sleep(12)
    # The small tenant's clients are everywhere; the big tenant has one client machine, so that the
    # balancer takes all its connections to one node.
    tasks = [asyncio.create_task(client(f"small-{n}", ZONES[n % 3], "key-of-small", 1))
             for n in range(12)]
    await asyncio.sleep(4)
    connections = 30
    demand = HOT * RATE / 1.8 / TOKENS
    tasks += [asyncio.create_task(client("big-0", "zone-a", "key-of-big", demand / connections))
              for _ in range(connections)]
    await asyncio.sleep(4.5)
    killed = d.node_for("zone-a", "big-0")
    if TROUBLE:
        await d.kill(killed)
        await asyncio.sleep(DOWN)
        await d.launch(killed)
        await asyncio.sleep(5)
    else:
        await asyncio.sleep(DOWN + 5)
    stop.set()
    await asyncio.gather(*tasks)
    limit = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
    most = 0
    for begin, _ in runs:
        most = max(most, TOKENS * sum(s >= begin and a <= begin + WINDOW for s, a in runs))
    text = (f"tenant big: {len(runs)} runs, answers by node {counts}; at most {most} tokens in a window of "
            f"{WINDOW:.0f} s, allowed with all tolerance {limit:.0f}")
    d.log(text)
    print(text)
    d.end(BROKEN if most > limit else HELD)


run(main)
