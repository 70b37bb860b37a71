"""A small deployment on loopback for the cases of the second review: control hosts and entry hosts
as processes, with the commands of deploy/system.toml, and stand-ins for runners, operator, clients.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "cuminfield")
ZONES = {"gent-a": "vlaanderen", "luik-a": "wallonie", "elsene-a": "brussel"}
# Bounds of sites/bkt-tegenboek.toml, as the platform fills them into deploy/host.ini.
BOUNDS = {"shutdown": "8s", "quota_window": "8s", "overshoot": "0.1", "slack": "140000",
          "retry": "0.2"}


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_net():
    """Two octets of a loopback network on which this run binds its ports."""
    for _ in range(200):
        second, third = random.randrange(16, 250), random.randrange(1, 250)
        base = random.randrange(21000, 29000)
        try:
            for host in (1, 11, 21):
                for port in range(base, base + 6):
                    with socket.socket() as it:
                        it.bind((f"127.{second}.{third}.{host}", port))
            return second, third, base
        except OSError:
            continue
    raise OSError("no free ports")


class Cluster:
    def __init__(self, record, controls=3, entries=2):
        self.record = record
        self.second, self.third, self.base = free_net()
        self.folder = tempfile.mkdtemp(prefix="cuminfield-review-2-")
        self.names = [f"control{n}" for n in range(controls)] + [f"entry{n}" for n in range(entries)]
        self.controls, self.entries = controls, entries
        self.processes = {}
        self.ended = []  # (name, code) of processes that ended by themselves.
        self.expected = set()
        self.first_start = True

    def index(self, name):
        return int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))

    def ip(self, name):
        first = {"control": 1, "entry": 11, "runner": 21}[name.rstrip("0123456789")]
        return f"127.{self.second}.{self.third}.{first + self.index(name)}"

    @property
    def peer_port(self):
        return self.base

    @property
    def control_port(self):
        return self.base + 1

    @property
    def front_port(self):
        return self.base + 2

    @property
    def ready_port(self):
        return self.base + 3

    @property
    def runner_port(self):
        return self.base + 4

    def write_settings(self, name):
        """What the platform makes of deploy/host.ini."""
        ip, zone = self.ip(name), list(ZONES)[self.index(name) % 3]
        seeds = ",".join(f"{self.ip(f'control{n}')}:{self.control_port}" for n in range(3))
        lines = ["[host]", f"id = {ip}", f"name = {name}", f"data-centre = {zone}",
                 f"region = {ZONES[zone]}"]
        if name.startswith("control"):
            lines.append(f"data-folder = {self.folder}/{name}/state")
        lines.append("[listen]")
        if name.startswith("entry"):
            lines += [f"callers = {ip}:{self.front_port}", f"ready = {ip}:{self.ready_port}"]
        else:
            lines.append(f"control = {ip}:{self.control_port}")
        lines += [f"peer-port = {self.peer_port}", "[cluster]", f"seeds = {seeds}",
                  f"first-start = {'yes' if self.first_start else 'no'}", "losses = 1",
                  "[data-centres]", *(f"{k} = {v}" for k, v in ZONES.items()),
                  "[limits]", f"shutdown = {BOUNDS['shutdown']}",
                  "[quota]", f"window = {BOUNDS['quota_window']}",
                  f"overshoot = {BOUNDS['overshoot']}", f"slack = {BOUNDS['slack']}",
                  "[cold-upstreams]", "[retries]", f"share = {BOUNDS['retry']}"]
        path = f"{self.folder}/{name}.ini"
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
        return path

    async def launch(self, name):
        os.makedirs(f"{self.folder}/{name}", exist_ok=True)
        role = "control" if name.startswith("control") else "entry"
        with open(f"{self.folder}/{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                PROGRAM, role, "--settings", self.write_settings(name), stdout=log, stderr=log,
                cwd=ROOT)
        self.processes[name] = process
        self.expected.discard(name)
        self.record.write(f"start {name} pid {process.pid} first-start "
                          f"{'yes' if self.first_start else 'no'}")
        asyncio.create_task(self.watch(name, process))

    async def watch(self, name, process):
        code = await process.wait()
        if self.processes.get(name) is process and name not in self.expected:
            self.ended.append((name, code))
            self.record.write(f"{name} ended by itself with code {code}")

    def signal(self, name, number):
        process = self.processes[name]
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected.add(name)
        if process.returncode is None:
            process.send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")

    async def kill(self, name):
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def stop(self):
        for name, process in self.processes.items():
            self.expected.add(name)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()

    def remove(self):
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Control API, called as the operator and runners do: any host, the next one after a failure.
    async def order(self, method, path, body=None, hosts=None, patience=8.0):
        data = json.dumps(body).encode() if body is not None else b""
        end, n = time.monotonic() + patience, 0
        hosts = hosts or [f"control{n}" for n in range(self.controls)]
        while time.monotonic() < end:
            host = hosts[n % len(hosts)]
            n += 1
            try:
                status, _, answer = await asyncio.wait_for(
                    call(self.ip(host), self.control_port, method, path, data), 1.0)
                if status < 500:
                    return status, answer
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(min(0.1 * n, 0.5))
        return 0, b""


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return head[0], {k.lower(): v.strip() for k, _, v in (h.partition(":") for h in head[1:]) if k}


async def read_body(reader, headers, on_part=None):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
            if on_part:
                on_part(part[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def call(host, port, method, path, body=b"", headers=(), name="control"):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {name}", f"Content-Length: {len(body)}",
                 *headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        status, answer = await read_head(reader)
        return int(status.split()[1]), answer, await read_body(reader, answer)
    finally:
        writer.close()


HOST = "ficu95.example"


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 2000, "target_latency_ms": 120, "priority": 2, "service": service,
            "max_attempts": 1, "public": False, **more}


def configuration(version, routes, services, tenants=None):
    """A configuration in the form of PROTOCOL.md."""
    body = {"version": version, "routes": routes,
            "services": [{"name": it, "health_path": "/health", "max_conns": 110, "protocol": "h1",
                          "tls": False} for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        body["tenants"] = tenants
    return body


def tenant(name, keys):
    return {"name": name, "api_keys": keys, "priority": 1, "unit": "token_stream",
            "plain_tokens": 200, "rate_per_s": 0, "burst": 0}


class Runner:
    """A sound runner: answers 200 with a seal, the id and a body; registers every 1.2 s."""

    def __init__(self, cluster, index, service, ident, work=0.01):
        self.cluster, self.index, self.service, self.id = cluster, index, service, ident
        self.ip, self.work = cluster.ip(f"runner{index}"), work
        self.born, self.sequence, self.runs = int(time.time() * 1000), 0, []
        self.server, self.beating = None, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.cluster.runner_port)
        self.beating = asyncio.create_task(self.beat())

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.cluster.runner_port}",
                "zone": list(ZONES)[self.index % 3], "version": "v1", "slots": 6, "state": "ready",
                "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            status, _ = await self.cluster.order("PUT", f"/v1/instances/{self.id}",
                                                 self.heartbeat(), patience=4)
            self.cluster.record.write(f"runner {self.id} born {self.born} beat {self.sequence} "
                                      f"ready: {status}")
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.run(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def run(self, line, headers, body, writer):
        request = headers.get("x-cuminfield-request-id", "")
        if headers.get("x-cuminfield-expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Cuminfield-Instance-Id: {self.id}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return
        self.runs.append((request, line, len(body), headers.get("x-cuminfield-tenant", "")))
        self.cluster.record.write(f"runner {self.id} runs {request}: {line}, body {len(body)} bytes, "
                                  f"tenant {headers.get('x-cuminfield-tenant', '-')}")
        await asyncio.sleep(self.work)
        text = f"done {request}"
        writer.write(f"HTTP/1.1 200 OK\r\nX-Cuminfield-Request-Id: {request}\r\n"
                     f"X-Cuminfield-Server-Seal: {self.id}.{request}\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n{text}".encode())


async def until_served(cluster, path, headers=(), patience=15.0):
    """Waits until an entry host serves a request; true if one did."""
    end, n = time.monotonic() + patience, 0
    while time.monotonic() < end:
        n += 1
        try:
            status, _, _ = await asyncio.wait_for(
                call(cluster.ip("entry0"), cluster.front_port, "POST", path, b"",
                     [f"X-Cuminfield-Request-Id: warm-{n}", "X-Cuminfield-Deadline-Ms: 2000",
                      *headers], HOST), 3)
            if status == 200:
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        await asyncio.sleep(0.2)
    return False


def main(case, controls=3, entries=1):
    """Runs case(cluster, record, trouble), which returns a list of breaks of the rule.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    import sys
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play():
        cluster = Cluster(record, controls, entries)
        try:
            breaks = await asyncio.wait_for(case(cluster, record, trouble), 110)
            if cluster.ended:
                record.write(f"ended by themselves: {cluster.ended}")
            return 1 if breaks else 0, breaks
        finally:
            await cluster.stop()
            cluster.remove()

    def interrupt(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    code, breaks = 2, []
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("target/cuminfield is missing; build it as deploy/system.toml says")
        code, breaks = asyncio.run(play())
    except BaseException as error:  # Also the end asked for by SIGTERM: the case could not run.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    for it in breaks:
        record.write("BROKEN " + it)
        print("BROKEN", it)
    result = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    record.write(f"{'with' if trouble else 'without'} the disruption: {result}")
    print(f"{'with' if trouble else 'without'} the disruption: {result}")
    sys.stdout.flush()
    os._exit(code)
