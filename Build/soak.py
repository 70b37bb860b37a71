#!/usr/bin/env python3
"""Fault soak: real hosts as processes, stand-in runners behind loopback proxies, random faults.

    Build/soak.py --seed 7 --seconds 20 [--program build/cuminfield] [--keep]

Checks what callers and runners see: a request that may not repeat runs at most once; `not run` is
true; every whole answer is the caller's own; streams have no gap; what an operator was acknowledged
is read back, and never an older document; a document is acknowledged within ACKNOWLEDGED of calm; a
request runs in its allowed regions only, and with a key only that a document held; an invalid document
is refused; an evacuated data centre gets no new request, and requests
again when that is revoked; an acknowledged leave is heeded, and so is what a runner says
in its answers: that it leaves, or asks to wait; a planned stop ends with 0; control hosts that are replaced, new
ones first, take nothing with them; service is back after the last fault. Ends with `soak: ok`, or with every violation and exit code 1. Ends only its own processes.
"""
import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import tempfile
import time

CONTROLS, RUNNERS, SLOTS = 3, 4, 8
REGIONS = {"dc0": "r0", "dc1": "r1", "dc2": "r1"}
PLAIN = ("unsafe", "safe", "bound")  # Kinds of requests without a stream; `bound` may run in r0 only.
GREY_FAILED, GREY_BROKEN = 0.4, 0.4  # Shares of the requests of a grey runner.
GRACE = 8.0          # Seconds from SIGTERM to SIGKILL.
CAUGHT_UP = 4.0      # A control host may go for good once its successor has run for so long.
LEAVE_HEEDED = 2.5   # After an acknowledged leave no new request comes.
CONFIG_APPLIED = 2.5  # After an acknowledged document no older one is read.
QUIET_BEGINS, QUIET_ALLOWED = 0.5, 2  # After a refusal with Retry-After; requests until its end.
EVACUATED = 5.0      # After an acknowledged evacuation no new request comes.
CALM = 4.0           # Undisturbed time after which bounds on time hold.
ACKNOWLEDGED = 4.0   # In one undisturbed stretch of this length a valid document is acknowledged.
RECOVERED = 12.0     # After the last fault, service is back.
NOT_RUN = {408, 421, 429, 503}


class Soak:
    def __init__(self, args):
        self.args, self.rng = args, random.Random(args.seed)
        self.engines = args.seed % 2 == 1      # The runners are model engines.
        self.base = 20000 + (args.seed * 37 + args.offset * 101) % 20000
        self.folder = tempfile.mkdtemp(prefix=f"cuminfield-soak-{args.seed}-")
        self.violations, self.events = [], []
        self.processes, self.stopping = {}, False
        self.controls = [f"control{n}" for n in range(CONTROLS)]
        self.plans = random.Random(-1 - args.seed)  # Apart, so that plans leave the faults of a seed as they are.
        self.disturbed = time.monotonic()
        self.unstable = []                     # [begin, end or None] of faults of control hosts.
        self.runs = collections.Counter()      # Request id to runs begun.
        self.refused, self.sent = {}, {}       # Unsafe ids told not-run; all ids with their kind.
        self.sent_to = {}                      # Host and time, by id.
        self.told_leaving, self.told_wait = {}, {}  # What hosts were told, by host and runner id.
        self.host_disturbed = {}               # Last stop, start or freeze of a host.
        self.outcomes = []                     # (time, good) of every request.
        self.evacuated, self.reached = None, {}  # Data centre; the last request by data centre.
        self.number, self.acknowledged = 0, []  # Documents: (number, time of the acknowledgement).

    def log(self, text):
        self.events.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def violate(self, text):
        self.log("VIOLATION " + text)
        self.violations.append(text)

    # Hosts.
    @staticmethod
    def index(name):
        return int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))

    def hosts(self):
        return (self.controls +
                [f"entry{n}" for n in range(self.args.entries)])

    def address(self, name):
        kind, index = name.rstrip("0123456789"), self.index(name)
        return f"127.{60 if kind == 'control' else 70}.{self.args.seed % 250}.{index + 1}"

    def settings(self, name):
        ip = self.address(name)
        seeds = ",".join(f"{self.address(it)}:{self.base + 1}" for it in self.controls)
        first = not os.path.exists(f"{self.folder}/founded")
        lines = ["[host]", f"id = {ip}", f"name = {name}", f"data-centre = dc{self.index(name) % 3}",
                 "region = r"]
        lines += [f"data-folder = {self.folder}/{name}/state"] if name.startswith("control") else []
        lines += ["[listen]", f"peer-port = {self.base}"]
        if name.startswith("control"):
            lines.append(f"control = {ip}:{self.base + 1}")
        else:
            lines += [f"callers = {ip}:{self.base + 2}", f"ready = {ip}:{self.base + 3}"]
        lines += ["[cluster]", f"seeds = {seeds}", f"first-start = {'yes' if first else 'no'}",
                  "[data-centres]", *(f"{zone} = {region}" for zone, region in REGIONS.items()),
                  "[limits]", f"shutdown = {GRACE:.0f}s"]
        path = f"{self.folder}/{name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def launch(self, name):
        os.makedirs(f"{self.folder}/{name}/state", exist_ok=True)
        with open(f"{self.folder}/{name}.log", "ab") as log:
            role = "control" if name.startswith("control") else "entry"
            process = await asyncio.create_subprocess_exec(
                self.args.program, role, "--settings", self.settings(name), stdout=log, stderr=log)
        self.processes[name] = process
        asyncio.create_task(self.watch(name, process))

    async def watch(self, name, process):
        code = await process.wait()
        if self.processes.get(name) is process and not getattr(process, "expected", False):
            self.violate(f"{name} ended by itself with code {code}")

    def send_signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    async def end(self, name, gently):
        process = self.processes[name]
        process.expected = True
        self.send_signal(name, signal.SIGTERM if gently else signal.SIGKILL)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE + 1)
            if gently and code != 0:
                self.violate(f"{name} ended its planned stop with code {code}")
        except asyncio.TimeoutError:
            self.violate(f"{name} was still there at the end of its grace")
            process.kill()
            await process.wait()

    # HTTP, as little of it as the checks need.
    @staticmethod
    async def read_head(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        return head[0], {k.lower(): v.strip() for k, _, v in (h.partition(":") for h in head[1:]) if k}

    async def read_body(self, reader, headers, on_part=None):
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:-2]
                if on_part:
                    on_part(body)
        return await reader.readexactly(int(headers.get("content-length", 0)))

    async def call(self, host, port, method, path, body=b"", headers=()):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Host: soak.example",
                     f"Content-Length: {len(body)}", *headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, answer = await self.read_head(reader)
            return int(status.split()[1]), answer, await self.read_body(reader, answer)
        finally:
            writer.close()

    async def order(self, method, path, body=None, tries=12):
        data = json.dumps(body).encode() if body is not None else b""
        for n in range(tries):
            host = self.address(self.controls[self.rng.randrange(CONTROLS)])
            try:
                status, _, answer = await asyncio.wait_for(
                    self.call(host, self.base + 1, method, path, data), 1.5)
                if status < 500:
                    return status, answer
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.1 * (n + 1))
        return 0, b""

    # Operator.
    def document(self, number):
        route = lambda name, kind, **more: {"name": name, "host": "soak.example", "kind": kind,
                                            "path_prefix": f"/{name}/", "timeout_ms": 4000, "public": True,
                                            "target_latency_ms": 400, "service": "s", **more}
        tenants = [{"name": "t", "api_keys": ["key"]}] if number % 3 else []
        service = {"name": "s", **({"engine": {"slots": SLOTS}} if self.engines else {})}
        return {"version": number, "services": [service], "tenants": tenants, "routes": [
            route("keyed", "safe", public=False), route("unsafe", "unsafe"), route("safe", "safe", max_attempts=2),
            route("bound", "safe", max_attempts=2, allowed_regions=["r0"]),
            route("stream", "stream", gap_goal_ms=300),
            route("resumable", "stream", resumable=True, max_attempts=3, gap_goal_ms=300)]}

    def longest_calm(self, begin, end):
        """The longest stretch of a time in which no control host had a fault, nor just before."""
        longest = 0
        for fault, over in sorted(self.unstable, key=lambda it: it[0]):
            longest = max(longest, min(fault, end) - begin)
            begin = max(begin, (end if over is None else over) + CALM)
        return max(longest, end - begin)

    async def operate(self):
        while not self.stopping:
            self.number += self.rng.randrange(1, 4)
            number, sent = self.number, time.monotonic()
            status, _ = await self.order("PUT", "/v1/configuration", self.document(number))
            if status == 200:
                open(f"{self.folder}/founded", "a", encoding="utf-8").close()
                self.acknowledged.append((number, time.monotonic()))
            elif status:
                self.violate(f"document {number} was refused with {status}")
            calm = self.longest_calm(sent, time.monotonic())
            if calm > ACKNOWLEDGED and not self.stopping:
                self.violate(f"document {number} had no acknowledgement after {calm:.1f} s of calm")
            twice = self.document(self.number)
            twice["routes"].append({**twice["routes"][0], "name": "twice", "host": "SOAK.example"})
            if (await self.order("PUT", "/v1/configuration", twice, tries=1))[0] == 200:
                self.violate(f"document {number} was accepted with two routes at one place")
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            asked = time.monotonic()
            status, body = await self.order("GET", "/v1/configuration", tries=3)
            due = max((n for n, at in self.acknowledged if at + CONFIG_APPLIED < asked), default=0)
            if status == 200 and json.loads(body)["version"] < due:
                self.violate(f"read document {json.loads(body)['version']}, {due} was acknowledged")

    # Runners, each behind a proxy of its own.
    async def runner(self, index):
        state = {"id": f"i-{index}-0", "born": int(time.time() * 1000), "leaving": None, "up": True,
                 "mode": "pass", "life": 0, "open": set(), "sequence": 0, "says": False, "harmed": 0, "held_up": 0,
                 "zone": f"dc{index % 3}"}
        host = f"127.80.{self.args.seed % 250}.{index + 1}"

        async def serve(reader, writer):
            try:
                while state["up"]:
                    line, headers = await self.read_head(reader)
                    body = await self.read_body(reader, headers)
                    if not await self.run(state, line, headers, body, writer):
                        return
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
                pass
            finally:
                writer.close()

        async def pump(reader, writer, back):
            try:
                while data := await reader.read(65536):
                    while state["mode"] == "silent" or (state["mode"] == "one-way" and back):
                        await asyncio.sleep(0.05)
                    await asyncio.sleep(0.2 if state["mode"] == "slow" else 0)
                    writer.write(data)
                    await writer.drain()
            except OSError:
                pass
            finally:
                writer.close()

        async def proxy(reader, writer):
            state["open"].add(writer)
            try:
                inner_reader, inner = await asyncio.open_connection(host, self.base + 4)
                await asyncio.gather(pump(reader, inner, False), pump(inner_reader, writer, True))
            except OSError:
                writer.close()
            finally:
                state["open"].discard(writer)

        await asyncio.start_server(serve, host, self.base + 4)
        await asyncio.start_server(proxy, host, self.base + 5)
        state["address"] = f"{host}:{self.base + 5}"
        self.runner_states.append(state)
        while not self.stopping:
            if state["up"]:
                state["sequence"] += 1
                status, _ = await self.order("PUT", f"/v1/instances/{state['id']}", {
                    "service": "s", "address": state["address"], "zone": state["zone"],
                    "version": "v1", "slots": SLOTS, "sequence": state["sequence"],
                    **({"models": []} if self.engines else {}),
                    "born": state["born"], "cold_left_ms": 0,
                    "state": "draining" if state["leaving"] else "ready"}, tries=4)
                if status == 200 and state["leaving"] == "asked":
                    state["leaving"] = time.monotonic()
            await asyncio.sleep(0.8)

    def check_notices(self, state, request):
        """What a runner tells a host binds the host until it is stopped, started or frozen."""
        now, (host, sent) = time.monotonic(), self.sent_to.get(request, (None, 0))
        key, disturbed = (host, state["id"]), self.host_disturbed.get(host, 0)
        if (told := self.told_leaving.get(key)) and disturbed < told < sent - LEAVE_HEEDED:
            self.violate(f"{request} came to {state['id']} {sent - told:.1f} s after {host} knew it leaves")
        for wait in self.told_wait.get(key, []):
            told = wait["told"]
            # The host had perhaps given up the request: the proxy had kept it from the runner.
            harmed = told - 1 < state["harmed"] < told + QUIET_BEGINS or told - 1 < wait["held_up"]
            if told + QUIET_BEGINS < now < wait["until"] and disturbed < told - 1 and not harmed:
                wait["reached"] += 1
                if wait["reached"] == QUIET_ALLOWED + 1:
                    self.violate(f"{request} came to {state['id']}, which asked {host} to wait")

    async def run(self, state, line, headers, body, writer):
        method, path, _ = line.split()
        request = headers.get("x-cuminfield-request-id", "")
        reply = lambda status, text, more="": writer.write(
            (f"HTTP/1.1 {status} X\r\nX-Cuminfield-Request-Id: {request}\r\n{more}"
             f"Content-Length: {len(text)}\r\n\r\n{text}").encode())
        if headers.get("x-cuminfield-expect-instance", state["id"]) != state["id"]:
            reply(421, "other")
            return True
        self.check_notices(state, request)
        if state["mode"] == "shed" and self.rng.random() < 0.5:
            wait = round(self.rng.uniform(0.2, 3), 2)
            now = time.monotonic()
            self.told_wait.setdefault((self.sent_to[request][0], state["id"]), []).append(
                {"told": now, "until": now + wait, "reached": 0, "held_up": state["held_up"]})
            reply(503, "full", f"X-Cuminfield-Not-Executed: full\r\nRetry-After: {wait}\r\n")
            return True
        notice = f"X-Soak-Runner: {state['id']}\r\n" + ("Server-Leaving: 1\r\n" if state["says"] else "")
        left = state["leaving"]
        calm = time.monotonic() - self.disturbed > CALM
        if isinstance(left, float) and time.monotonic() - left > LEAVE_HEEDED and calm:
            self.violate(f"{request} came to {state['id']} after its leave was acknowledged")
        kind = self.sent.get(request)
        if kind is None or body != request.encode():
            self.violate(f"{request} is nobody's request, or its body was changed")
        self.reached[state["zone"]] = time.monotonic()
        if self.evacuated == state["zone"]:
            self.violate(f"{request} came to {state['id']}, whose data centre is evacuated")
        if kind == "keyed":
            self.violate(f"{request} ran, whose key no document held")
        if kind == "bound" and REGIONS[state["zone"]] != "r0":
            self.violate(f"{request} came to {state['id']}, outside its regions")
        self.runs[request] += 2 if self.args.plant and self.rng.random() < 0.01 else 1
        if self.runs[request] > 1 and kind in ("unsafe", "stream"):
            self.violate(f"{kind} {request} ran {self.runs[request]} times")
        if request in self.refused:
            self.violate(f"{kind} {request} ran after it was told not-run")
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        grey = state["mode"] == "grey"
        if grey and self.rng.random() < GREY_FAILED:
            reply(500, "failed", "X-Cuminfield-Server-Seal: x\r\n" + notice)
            return True
        broken = grey and self.rng.random() < GREY_BROKEN
        if broken and kind in PLAIN:
            writer.transport.abort()
            return False
        if kind in PLAIN:
            reply(200, f"answer {request}", "X-Cuminfield-Server-Seal: x\r\n" + notice)
            return True
        writer.write((f"HTTP/1.1 200 X\r\nX-Cuminfield-Request-Id: {request}\r\n{notice}Content-Type: "
                      "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for n in range(int(headers.get("last-event-id", 0)) + 1, 9):
            event = f"id: {n}\ndata: {request} {n}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.02)
            if broken and self.rng.random() < 0.3:
                writer.transport.abort()
                return False
        writer.write(b"0\r\n\r\n")
        return True

    # Callers.
    async def caller(self, index):
        rng = random.Random(self.args.seed * 1000 + index)
        connection = None
        while not self.stopping:
            kind = rng.choice([*PLAIN, "stream", "resumable", "keyed"])
            request = f"{rng.getrandbits(64):016x}"
            self.sent[request] = kind
            good = False
            try:
                if connection is None:
                    host = self.address(f"entry{rng.randrange(self.args.entries)}")
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(host, self.base + 2), 1)
                reader, writer = connection
                self.sent_to[request] = host, time.monotonic()
                writer.write((f"POST /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 16\r\n"
                              f"X-Cuminfield-Request-Id: {request}\r\nX-Cuminfield-Deadline-Ms: 4000"
                              f"\r\nX-Api-Key: unknown\r\n\r\n{request}").encode())
                good, close = await asyncio.wait_for(self.answer(request, kind, host, reader), 5)
                if close or rng.random() < 0.1:
                    writer.close()
                    connection = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                if connection:
                    connection[1].close()
                connection = None
            if kind != "keyed":
                self.outcomes.append((time.monotonic(), good))
            await asyncio.sleep(rng.uniform(0.01, 0.08))

    async def answer(self, request, kind, host, reader):
        line, headers = await self.read_head(reader)
        if headers.get("server-leaving") == "1":
            self.told_leaving.setdefault((host, headers["x-soak-runner"]), time.monotonic())
        status = int(line.split()[1])
        body = (await self.read_body(reader, headers)).decode()
        if status == 200 and kind in PLAIN and body != f"answer {request}":
            self.violate(f"{request} got another answer: {body[:60]!r}")
        whole = "".join(f"id: {n}\ndata: {request} {n}\n\n" for n in range(1, 9))
        if status == 200 and kind in ("stream", "resumable") and body != whole:
            self.violate(f"stream {request} has a gap, or is another's: {body[:80]!r}")
        if status in NOT_RUN and kind in ("unsafe", "stream"):
            self.refused[request] = status
            if self.runs[request]:
                self.violate(f"{kind} {request} was told {status} and ran")
        return status == 200, headers.get("connection") == "close"

    # Faults: in series, and overlapping.
    async def fault(self):
        hosts = self.hosts()
        what = self.rng.choice(["kill", "freeze", "term", "hup", "wipe", "herd", "proxy", "crash",
                                "leave", "leave-by-answers", "grey", "shed", "reset"])
        if what in ("kill", "freeze", "term", "hup", "wipe"):
            name = self.rng.choice(self.controls if what == "wipe" else hosts)
            if name in self.busy or (what == "wipe" and any(b.startswith("control") for b in self.busy)):
                return
            self.busy.add(name)
            self.log(f"{what} {name}")
            self.host_disturbed[self.address(name)] = time.monotonic()
            unstable = [time.monotonic(), None]
            if name.startswith("control") and what != "hup":
                self.unstable.append(unstable)
            if what == "hup":
                self.send_signal(name, signal.SIGHUP)
            elif what == "freeze":
                self.send_signal(name, signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.3, 3))
                self.send_signal(name, signal.SIGCONT)
            else:
                await self.end(name, gently=what == "term")
                if what == "wipe":
                    shutil.rmtree(f"{self.folder}/{name}/state")
                await asyncio.sleep(self.rng.uniform(0.05, 1.5))
                self.host_disturbed[self.address(name)] = time.monotonic()
                await self.launch(name)
                # A disk that was lost counts as lost until its host has caught up.
                unstable[1] = time.monotonic()
                await asyncio.sleep(4 if what == "wipe" else 0.5)
            unstable[1] = unstable[1] or time.monotonic()
            self.host_disturbed[self.address(name)] = time.monotonic()
            self.busy.discard(name)
        elif what == "herd" and not self.busy:
            controls = list(self.controls)
            self.busy.update(controls)
            self.log("kill all control hosts")
            unstable = [time.monotonic(), None]
            self.unstable.append(unstable)
            await asyncio.gather(*(self.end(n, gently=False) for n in controls))
            await asyncio.gather(*(self.launch(n) for n in controls))
            unstable[1] = time.monotonic()
            await asyncio.sleep(1)
            self.busy.difference_update(controls)
        elif what in ("proxy", "reset", "crash", "leave", "leave-by-answers", "grey", "shed"):
            await self.runner_fault(what, self.rng.choice(self.runner_states))
        self.disturbed = time.monotonic()

    async def replace_controls(self, end):
        """Planned work: successors first, then SIGTERM to the old ones, one after the other, for good."""
        while time.monotonic() < end:
            await asyncio.sleep(self.plans.uniform(0.5, 3))
            if any(it.startswith("control") for it in self.busy) or not os.path.exists(f"{self.folder}/founded"):
                continue
            old = self.plans.sample(self.controls, self.plans.choice([1, 2]))
            first = max(map(self.index, self.controls)) + 1
            new = [f"control{n}" for n in range(first, first + len(old))]
            self.busy.update(old + new)
            self.log(f"replace {old} by {new}")
            await asyncio.gather(*(self.launch(it) for it in new))
            await asyncio.sleep(CAUGHT_UP)
            self.controls = [it for it in self.controls if it not in old] + new
            for name in self.hosts():
                self.settings(name)
            ends = []
            for name in old:
                self.log(f"stop {name} for good")
                ends.append(asyncio.create_task(self.end(name, gently=True)))
                await asyncio.sleep(self.plans.uniform(0.05, 3))
            await asyncio.gather(*ends)
            self.busy.difference_update(old + new)

    async def runner_fault(self, what, state):
        state["harmed"] = time.monotonic()
        if what == "reset":
            self.log(f"reset connections of {state['id']}")
            for writer in list(state["open"]):
                writer.transport.abort()
        elif what in ("proxy", "grey", "shed"):
            modes = ["silent", "one-way", "slow"] if what == "proxy" else [what]
            state["mode"] = self.rng.choice(modes)
            self.log(f"{state['mode']} {state['id']}")
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            state["mode"], state["harmed"] = "pass", time.monotonic()
            if what == "proxy":
                state["held_up"] = state["harmed"]
        elif state["up"] and state["leaving"] is None:
            self.log(f"{what} {state['id']}")
            if what.startswith("leave"):
                # By answers only: its calls to the control hosts say nothing of it, as if they were lost.
                state["leaving"] = "asked" if what == "leave" else None
                state["says"] = True
                await asyncio.sleep(6)
            state["up"] = False
            for writer in list(state["open"]):
                writer.transport.abort()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            state["life"] += 1
            state.update(id=f"{state['id'].rsplit('-', 1)[0]}-{state['life']}", up=True, leaving=None, says=False,
                         born=int(time.time() * 1000), sequence=0)

    async def check_evacuation(self):
        """Of one data centre, after the last fault: the bound holds for hosts in contact only."""
        # One that has an entry host, since hosts prefer the upstreams of their own.
        zone = f"dc{self.rng.randrange(min(self.args.entries, len(REGIONS)))}"
        self.log(f"evacuate {zone}")
        for path, expected in (("nowhere", 404), (zone, 200), (zone, 200)):
            status, _ = await self.order("POST", f"/v1/evacuation/{path}")
            if status != expected:
                self.violate(f"the evacuation of {path} was answered {status}")
        await asyncio.sleep(EVACUATED)
        self.evacuated = zone
        await asyncio.sleep(2)
        self.evacuated, revoked = None, time.monotonic()
        status, _ = await self.order("DELETE", f"/v1/evacuation/{zone}")
        await asyncio.sleep(EVACUATED)
        if status != 200 or self.reached.get(zone, 0) < revoked:
            self.violate(f"no request came to {zone} after the end of its evacuation: {status}")

    async def main(self):
        self.start, self.busy, self.runner_states = time.monotonic(), set(), []
        names = self.hosts()
        await asyncio.gather(*(self.launch(n) for n in names))
        tasks = [asyncio.create_task(self.runner(n)) for n in range(RUNNERS)]
        tasks.append(asyncio.create_task(self.operate()))
        await asyncio.sleep(4)
        tasks += [asyncio.create_task(self.caller(n)) for n in range(16)]
        end = time.monotonic() + self.args.seconds
        faults = {asyncio.create_task(self.replace_controls(end))}
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1 / 0.8))
            task = asyncio.create_task(self.fault())
            faults.add(task)
            task.add_done_callback(faults.discard)
        await asyncio.gather(*faults)
        self.log("last fault is over")
        await asyncio.sleep(RECOVERED / 2)
        since = time.monotonic()
        await asyncio.sleep(RECOVERED / 4)
        late = [good for at, good in self.outcomes if at > since]
        if not late or sum(late) < 0.9 * len(late):
            self.violate(f"after the faults {sum(late)} of {len(late)} requests were served")
        newest = max((n for n, _ in self.acknowledged), default=0)
        status, body = await self.order("GET", "/v1/configuration")
        if status != 200 or json.loads(body)["version"] < newest:
            self.violate(f"document {newest} was acknowledged; read back: {status} {body[:60]!r}")
        await self.check_evacuation()
        self.stopping = True
        for process in self.processes.values():
            process.expected = True
            if process.returncode is None:
                process.kill()
        served = sum(good for _, good in self.outcomes)
        print(f"seed {self.args.seed}: {len(self.outcomes)} requests, {served} served, "
              f"{len(self.acknowledged)} documents, {len(self.violations)} violations")
        if self.violations:
            print("\n".join(self.events[-200:]))
            print(f"logs: {self.folder}")
        elif not self.args.keep:
            shutil.rmtree(self.folder)
        print("soak: failed" if self.violations else "soak: ok", flush=True)
        os._exit(1 if self.violations else 0)  # Tasks of open connections need no farewell.


def parse():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=2, help="entry hosts, 200 at most")
    parser.add_argument("--program", default="build/cuminfield")
    parser.add_argument("--offset", type=int, default=0, help="moves the ports")
    parser.add_argument("--plant", action="store_true",
                        help="counts some runs twice: the checks must find it")
    parser.add_argument("--keep", action="store_true", help="keeps the logs also without violations")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(Soak(parse()).main())
