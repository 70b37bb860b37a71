"""Case 1: each resumed stream that gets a failure takes one place at its runner for good."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, TROUBLE, Client, Deployment, Runner, now, run

ZONES = ["zone-a", "zone-b", "zone-c"]
RUNNERS, SLOTS, EVENTS, GAP = 4, 6, 5, 0.008
CLIENTS, PAUSE = 24, 0.05
ROUNDS, ROUND, BETWEEN = 10, 5.5, 2.0
LOSING, LOST = 2, 0.4         # answer_lost, how reset: share 0.5 of the runners, x 0.4 of their answers.
ERRORS = 0.45                 # srv_grey, how "errors all", share 1.0, x 0.45.
CONTACT, MEASURED = 3.0, 10.0  # contact_window_ms; how long steady state is watched.


def configuration(version):
    """Version 1 has the first route; version 2 adds the one of the model service."""
    def route(name, kind, service, **more):
        return {"name": name, "host": "review.example", "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 250, "priority": 1, "service": service,
                "max_attempts": 2, "public": True, **more}
    later = route("sfat", "stream", "asistent", sticky=True, resumable=True, gap_goal_ms=200)
    return {"version": version,
            "services": [{"name": "asistent", "health_path": "/health", "max_conns": 300, "protocol": "h1",
                          "tls": False, "engine": {"slots": SLOTS, "kv_capacity_tokens": 954524,
                                                   "stride": 6, "models": [{"name": "m"}]}},
                         {"name": "dispecerat", "health_path": "/health", "max_conns": 100,
                          "protocol": "h1", "tls": False}],
            "routes": [route("stare", "safe", "dispecerat")] + ([later] if version > 1 else []),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Faulty(Runner):
    """Loses answers by a reset midway, and fails requests, while its heartbeats are good."""

    losing = failing = False

    async def stream(self, request, after, writer):
        if self.failing and self.deployment.random.random() < ERRORS:
            writer.write((f"HTTP/1.1 500 X\r\nX-Cuminfield-Request-Id: {request}\r\n"
                          "X-Cuminfield-Server-Seal: s\r\nContent-Length: 5\r\n\r\nerror").encode())
            return
        if self.losing and self.deployment.random.random() < LOST:
            events = self.deployment.random.randrange(after + 1, self.events + 1)
            writer.write((f"HTTP/1.1 200 X\r\nX-Cuminfield-Request-Id: {request}\r\n"
                          "X-Cuminfield-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for n in range(after + 1, events + 1):
                event = f"id: {n}\ndata: {request} {n}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(self.gap)
            writer.transport.abort()
            return
        await super().stream(request, after, writer)


async def main():
    d = Deployment(os.path.dirname(os.path.abspath(__file__)), ZONES, ZONES)
    await d.start(configuration(1))
    runners = [Faulty(d, n, "asistent", ZONES[n % 3], slots=SLOTS, events=EVENTS, gap=GAP, engine=True)
               for n in range(RUNNERS)]
    others = [Runner(d, RUNNERS + n, "dispecerat", ZONES[n], slots=SLOTS) for n in range(3)]
    await asyncio.gather(*(it.start() for it in runners + others))
    stop, outcomes = asyncio.Event(), {"sfat": [], "stare": []}

    async def client(n, kind):
        c = Client(d, f"client-{n}", ZONES[n % 3])
        while not stop.is_set():
            begin = now()
            _, _, status = await c.send("POST", f"/{kind}/x", timeout=4.0, headers=[
                "X-Cuminfield-Model: m", "X-Cuminfield-Token-Count: 628,60",
                f"X-Cuminfield-Prompt-Prefix: 5c1e07a2:60,{d.random.getrandbits(32):08x}:568"])
            outcomes[kind].append((begin, status))
            await asyncio.sleep(d.random.uniform(0.5, 1.5) * PAUSE)
        c.close()

    def served(kind, begin, end):
        """Share of the requests sent in a span that were answered 200, and their number."""
        some = [status for at, status in outcomes[kind] if begin <= at < end]
        return round(sum(it == 200 for it in some) / max(1, len(some)), 3), len(some)

    await asyncio.sleep(3)
    clients = [asyncio.create_task(client(n, "stare")) for n in range(6)]
    await asyncio.sleep(4)
    await d.order("PUT", "/v1/configuration", configuration(2), limit=8)
    await asyncio.sleep(2.5)  # config_apply_ms
    clients += [asyncio.create_task(client(n, "sfat")) for n in range(CLIENTS)]
    for _ in range(ROUNDS):
        if TROUBLE:
            losing = d.random.sample(runners, LOSING)
            for it in runners:
                it.losing, it.failing = it in losing, True
            d.log("disruption begins")
        await asyncio.sleep(ROUND)
        for it in runners:
            it.losing = it.failing = False
        d.log("disruption ends")
        await asyncio.sleep(BETWEEN)
        d.log(f"served in the last second: {served('sfat', now() - 1, now())}")
    # Steady state: longer than contact_window_ms after the last disruption.
    await asyncio.sleep(CONTACT - BETWEEN)
    begin = now()
    await asyncio.sleep(MEASURED + 1)
    first, later = served("stare", begin, begin + MEASURED), served("sfat", begin, begin + MEASURED)
    stop.set()
    await asyncio.gather(*clients)
    busy = {it.id: it.running for it in runners}
    text = (f"steady state, share served and number: first route {first}, later route {later}; requests at "
            f"work at its runners {busy}")
    d.log(text)
    print(text)
    d.end(BROKEN if later[1] >= 20 and later[0] < first[0] / 4 else HELD)


run(main)
