"""Stand-ins for the review's scripts: the platform that starts hosts, the links between them, runners,
clients and the operator. Everything runs on loopback addresses and the real clock.

A host dials every other host at `ID:own peer port` and listens at `ID:own peer port`. Each control host
has a peer port of its own here, so a proxy can stand on every link between two hosts.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "cuminfield")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


def now():
    return time.monotonic()


def run(main):
    """Runs a case. Whatever goes wrong, its processes are ended, and the case counts as not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit())
    try:
        asyncio.run(main())
    except BaseException:
        traceback.print_exc()
    if Deployment.current:
        Deployment.current.end(NOT_RUN)
    os._exit(NOT_RUN)


class Link:
    """One direction of dialling between two groups of hosts: a proxy that can be cut silently."""

    def __init__(self):
        self.cut = False
        self.open = set()
        self.silent = set()

    async def start(self, listen, target):
        self.target = target
        self.server = await asyncio.start_server(self.serve, *listen)

    async def serve(self, reader, writer):
        tasks, inner = [], None
        self.open.add(writer)
        try:
            while self.cut:
                await asyncio.sleep(0.05)
            inner_reader, inner = await asyncio.open_connection(*self.target)
            self.open.add(inner)
            tasks = [asyncio.create_task(self.pump(reader, inner, writer)),
                     asyncio.create_task(self.pump(inner_reader, writer, writer))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for task in tasks:
                task.cancel()
            for it in (writer, inner):
                if it:
                    self.open.discard(it)
                    self.silent.discard(it)
                    it.transport.abort()

    async def pump(self, reader, writer, connection):
        try:
            while data := await reader.read(65536):
                while self.cut or connection in self.silent:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def silence(self):
        """The connections that are open now go silent for good, without a reset; new ones work."""
        self.silent.update(self.open)

    def heal(self):
        """What was held up is lost with its connections."""
        self.cut = False
        for it in list(self.open):
            it.transport.abort()


class Host:
    def __init__(self, name, role, zone, ip):
        self.name, self.role, self.zone, self.ip = name, role, zone, ip
        self.process, self.ready, self.misses, self.started = None, False, 0, 0.0


class Deployment:
    """`controls` and `entries` are lists of zones; runs the programs of the deploy file."""

    current = None

    def __init__(self, folder, controls, entries, bounds=None, later=()):
        Deployment.current = self
        self.folder = folder
        self.random = random.Random()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.work = tempfile.mkdtemp(prefix="cuminfield-review-")
        self.block = f"127.{self.random.randrange(20, 250)}.{self.random.randrange(1, 250)}"
        self.port = self.find_ports()
        self.controls = [Host(f"control-{n}", "control", zone, f"{self.block}.{n + 1}")
                         for n, zone in enumerate(controls)]
        self.entries = [Host(f"entry-{n}", "entry", zone, f"{self.block}.{n + 21}")
                        for n, zone in enumerate(entries)]
        # Control hosts that are added later.
        self.later = [Host(f"control-{len(controls) + n}", "control", zone,
                           f"{self.block}.{len(controls) + n + 1}") for n, zone in enumerate(later)]
        self.bounds = {"quota_window": 8, "overshoot": 0.1, "slack": 140000, "share": 0.2,
                       "losses": 1, **(bounds or {})}
        self.first_start, self.begin, self.links, self.tasks = True, now(), {}, []
        self.runners = []

    def find_ports(self):
        """A block of ports that are free on every address of the block."""
        for _ in range(50):
            base = self.random.randrange(20000, 32000)
            try:
                for port in range(base, base + 40):
                    with socket.socket() as it:
                        it.bind(("0.0.0.0", port))
                return base
            except OSError:
                continue
        raise OSError("no free ports")

    def log(self, text):
        self.record.write(f"{now() - self.begin:9.3f} {text}\n")

    # Ports: 0 control API, 1 callers, 2 ready, 3 entry hosts' peers, 4.. control hosts' peers, 20 runners.
    def peer_port(self, host):
        return self.port + (3 if host.role == "entry" else 4 + int(host.name.split("-")[1]))

    def seeds(self):
        """The control hosts that a settings file names when it is written."""
        return self.controls[:3]

    def settings(self, host):
        seeds = ",".join(f"{it.ip}:{self.port}" for it in self.seeds())
        data = f"{self.work}/{host.name}"
        lines = ["[host]", f"id = {host.ip}", f"name = {host.name}", f"data-centre = {host.zone}",
                 f"region = region-{host.zone}"]
        lines += [f"data-folder = {data}/state"] if host.role == "control" else []
        lines += ["[listen]"]
        lines += ([f"control = {host.ip}:{self.port}"] if host.role == "control" else
                  [f"callers = {host.ip}:{self.port + 1}", f"ready = {host.ip}:{self.port + 2}"])
        lines += [f"peer-port = {self.peer_port(host)}", "[cluster]", f"seeds = {seeds}",
                  f"first-start = {'yes' if self.first_start else 'no'}",
                  f"losses = {self.bounds['losses']}", "[limits]", "shutdown = 8s",
                  "[quota]", f"window = {self.bounds['quota_window']}s",
                  f"overshoot = {self.bounds['overshoot']}", f"slack = {self.bounds['slack']}",
                  "[retries]", f"share = {self.bounds['share']}"]
        path = f"{self.work}/{host.name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def launch(self, host):
        os.makedirs(f"{self.work}/{host.name}/state", exist_ok=True)
        with open(f"{self.work}/{host.name}.log", "ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                PROGRAM, host.role, "--settings", self.settings(host), stdout=log, stderr=log, cwd=ROOT)
        host.started = now()
        self.log(f"start {host.name} {host.ip} zone {host.zone}")

    async def kill(self, host):
        host.process.kill()
        await host.process.wait()
        self.log(f"SIGKILL {host.name}")

    async def replace(self, old, new, pause):
        """Removes a control host for good; an empty one comes `pause` s later at another address."""
        await self.kill(old)
        self.controls.remove(old)
        if new:
            await asyncio.sleep(pause)
            self.controls.append(new)
            await self.launch(new)

    async def start(self, configuration):
        """Starts all hosts and puts the first configuration in force."""
        if not os.path.exists(PROGRAM):
            print(f"{PROGRAM} is missing: build it as the deploy file says", file=sys.stderr)
            self.end(NOT_RUN)
        hosts = self.controls + self.entries
        for x in hosts + self.later:
            for y in hosts + self.later:
                if x is y or (x.role == "entry" and y.role == "entry"):
                    continue
                key = (x.name if x.role == "control" else "entries", y.name)
                if key not in self.links:
                    self.links[key] = Link()
                    await self.links[key].start((y.ip, self.peer_port(x)), (y.ip, self.peer_port(y)))
        await asyncio.gather(*(self.launch(it) for it in hosts))
        status, _ = await self.order("PUT", "/v1/configuration", configuration, limit=10)
        if status != 200:
            self.fail("the first configuration was not acknowledged")
        self.first_start = False
        self.tasks.append(asyncio.create_task(self.check_readiness()))

    def fail(self, text):
        print("could not run: " + text, file=sys.stderr)
        self.log("could not run: " + text)
        self.end(NOT_RUN)

    def end(self, code):
        for it in self.controls + self.entries + self.later:
            if it.process and it.process.returncode is None:
                try:
                    os.kill(it.process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        self.record.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.work}")
        else:
            shutil.rmtree(self.work, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)

    # HTTP, as much of it as is needed.
    @staticmethod
    async def read_head(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        return head[0], {k.lower(): v.strip() for k, _, v in (h.partition(":") for h in head[1:]) if k}

    @staticmethod
    async def read_body(reader, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0)))

    async def call(self, ip, port, method, path, body=b"", headers=()):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Host: review.example",
                     f"Content-Length: {len(body)}", *headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, answer = await self.read_head(reader)
            return int(status.split()[1]), answer, await self.read_body(reader, answer)
        finally:
            writer.close()

    async def order(self, method, path, body=None, limit=4.0):
        """A call of the operator or a runner: picks a control host, moves on after a failure, a 5xx or a
        second without an answer. Returns the status and the host that answered; 0 after `limit`."""
        data = json.dumps(body).encode() if body is not None else b""
        hosts = self.random.sample(self.controls, len(self.controls))
        until, n = now() + limit, 0
        while now() < until:
            host = hosts[n % len(hosts)]
            n += 1
            try:
                status, _, _ = await asyncio.wait_for(
                    self.call(host.ip, self.port, method, path, data), 1)
                if status < 500 and status not in (408, 429):
                    return status, host
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.1 * n)
        return 0, None

    # The platform's balancer.
    async def check_readiness(self):
        while True:
            for it in self.entries:
                good = False
                if it.process and it.process.returncode is None:
                    try:
                        good = (await asyncio.wait_for(
                            self.call(it.ip, self.port + 2, "GET", "/v1/readiness"), 0.5))[0] == 200
                    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                        pass
                it.misses = 0 if good else it.misses + 1
                it.ready = good or (it.ready and it.misses < 2)
            await asyncio.sleep(1)

    def node_for(self, zone, client, failed=None):
        """The node for a new connection: by a hash of the client, among those in rotation in its zone;
        all of the zone's if fewer than half are in rotation. Retries reach other nodes."""
        nodes = [it for it in self.entries if it.zone == zone]
        ready = [it for it in nodes if it.ready]
        chosen = ready if ready and 2 * len(ready) >= len(nodes) else nodes
        chosen = [it for it in chosen if it is not failed] or chosen
        return max(chosen, key=lambda it: hash((client, it.name)))


class Runner:
    """A runner of a plain service. Beats, drains and exits as PROTOCOL.md says; counts what it runs."""

    def __init__(self, deployment, index, service, zone, slots=6, work=0.02, events=0,
                 gap=0.02, engine=False):
        self.deployment, self.service, self.zone, self.slots = deployment, service, zone, slots
        self.work, self.index, self.events, self.gap = work, index, events, gap
        self.engine = {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}]
                       } if engine else {}
        self.id = f"i-{deployment.random.getrandbits(32):08x}"
        self.ip, self.port = f"{deployment.block}.{index + 101}", deployment.port + 20
        self.born, self.sequence = int(time.time() * 1000), 0
        self.state, self.left_at, self.left_by, self.up = "ready", None, None, False
        self.running, self.open, self.runs, self.on_run = 0, set(), [], None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True)
        self.up = True
        self.deployment.runners.append(self)
        self.deployment.log(f"runner {self.id} of {self.service} up at {self.ip} zone {self.zone}")
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while self.up and self.state == "ready":
            self.sequence += 1
            # Not repeated for longer than until the next heartbeat is due.
            status, host = await self.deployment.order("PUT", f"/v1/instances/{self.id}", {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born, **self.engine}, limit=1.2)
            if status == 200:
                self.deployment.log(f"beat of {self.id} taken by {host.name}")
            await asyncio.sleep(1.2)

    async def leave(self, drain, linger):
        """Leaves like the runners that say DELETE first, go on serving, and exit."""
        self.state = "leaving"
        status, host = await self.deployment.order("DELETE", f"/v1/instances/{self.id}")
        if status != 200:
            self.deployment.log(f"leave of {self.id} was not acknowledged")
            return
        self.left_at, self.left_by = now(), host
        self.deployment.log(f"leave of {self.id} acknowledged by {host.name}")
        await asyncio.sleep(drain + linger)
        self.exit()

    def exit(self):
        self.up = False
        self.server.close()
        for it in list(self.open):
            it.transport.abort()
        self.deployment.log(f"runner {self.id} exits with {self.running} requests at work")

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while self.up:
                line, headers = await Deployment.read_head(reader)
                body = await Deployment.read_body(reader, headers)
                await self.handle(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer):
        request = headers.get("x-cuminfield-request-id", "")

        def reply(status, text, more=""):
            writer.write((f"HTTP/1.1 {status} X\r\nX-Cuminfield-Request-Id: {request}\r\n{more}"
                          f"X-Cuminfield-Server-Load: {self.running},0,{self.slots}\r\n"
                          f"Content-Length: {len(text)}\r\n\r\n{text}").encode())
        if headers.get("x-cuminfield-expect-instance", self.id) != self.id:
            reply(421, "other")
            return
        at = now()
        if self.running >= 4 * self.slots:
            reply(503, "full", "X-Cuminfield-Not-Executed: full\r\n")
            return
        self.running += 1
        self.runs.append((request, at))
        self.deployment.log(f"run {request} at {self.id}")
        if self.on_run:
            self.on_run(self, request, at, headers)
        try:
            await asyncio.sleep(self.work)
            if self.events:
                await self.stream(request, int(headers.get("last-event-id", 0)), writer)
                return
            reply(200, f"answer {request}", "X-Cuminfield-Server-Seal: s\r\n")
            await writer.drain()
        finally:
            self.running -= 1


    async def stream(self, request, after, writer):
        writer.write((f"HTTP/1.1 200 X\r\nX-Cuminfield-Request-Id: {request}\r\n"
                      "X-Cuminfield-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for n in range(after + 1, self.events + 1):
            event = f"id: {n}\ndata: {request} {n}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")


class Client:
    """Sends one request after another on a kept connection; each attempt has an id of its own."""

    def __init__(self, deployment, name, zone, fixed=None):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.fixed = fixed  # The node that all connections go to; None: as the balancer says.
        self.connection, self.node, self.failed = None, None, None

    async def send(self, method, path, headers=(), timeout=2.0, on_sent=None):
        """Returns id, node, status (0: connection ended; -1: no answer in time)."""
        request = f"{self.deployment.random.getrandbits(64):016x}"
        try:
            if self.connection is None:
                self.node = self.fixed or self.deployment.node_for(self.zone, self.name, self.failed)
                self.connection = await asyncio.wait_for(
                    asyncio.open_connection(self.node.ip, self.deployment.port + 1), 1)
            reader, writer = self.connection
            body = request.encode()
            lines = [f"{method} {path} HTTP/1.1", "Host: review.example",
                     f"X-Cuminfield-Request-Id: {request}",
                     f"X-Cuminfield-Deadline-Ms: {int(timeout * 1000)}",
                     f"Content-Length: {len(body)}", *headers]
            if on_sent:
                on_sent(request, self.node)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, answer = await asyncio.wait_for(Deployment.read_head(reader), timeout + 0.5)
            await asyncio.wait_for(Deployment.read_body(reader, answer), 1)
            self.failed = None
            self.log(request, path, line.split()[1])
            if answer.get("connection", "").lower() == "close":
                self.close()
            return request, self.node, int(line.split()[1])
        except asyncio.TimeoutError:
            self.close()
            self.log(request, path, "no answer in time")
            return request, self.node, -1
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            self.log(request, path, "connection ended")
            self.failed = self.node
            return request, self.node, 0

    def log(self, request, path, outcome):
        self.deployment.log(f"sent {request} {path} to {self.node.name}: {outcome}")

    def close(self):
        if self.connection:
            self.connection[1].transport.abort()
        self.connection = None
