"""A small deployment on loopback: the project's programs as processes, and stand-ins for the platform.

The processes are started with the commands of deploy/system.toml and with settings that are
rendered from deploy/host.ini. Runners, clients and the operator are small stand-ins that follow the
users' pages. Everything that is sent, answered and run goes to record.txt.
"""
import asyncio
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("PROGRAM", f"{ROOT}/target/cuminfield")
HOST = "review.example"
ZONES = {"gent-a": "vlaanderen", "luik-a": "wallonie", "elsene-a": "brussel"}
BOUNDS = {"grace_s": 8, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000,
          "retry_budget_ratio": 0.2}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; no verdict."""


def free_network():
    """A random loopback prefix and the first of sixteen ports that are free there."""
    for _ in range(200):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(21000, 32000)
        try:
            for port in range(base, base + 16):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
            return prefix, base
        except OSError:
            continue
    raise CannotRun("no free ports")


def render(template, fields):
    """Renders the few kinds of placeholders that deploy/host.ini uses."""
    def lookup(scope, name):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        kind, name, body = match.groups()
        value = lookup(fields, name)
        if kind == "^":
            return "" if value else body
        if isinstance(value, dict):
            return "".join(body.replace("{{@}}", k).replace("{{.}}", v) for k, v in value.items())
        return body if value else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = lookup(fields, match.group(1))
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Answer:
    """What a client got: `whole` is False if the connection ended before the end of the answer."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = collections.OrderedDict()
    for line in head[1:]:
        name, colon, text = line.partition(":")
        if colon:
            fields[name.lower()] = text.strip()
    return head[0], fields


async def read_chunks(reader, sink):
    while True:
        size = int((await reader.readline()).split(b";")[0].strip(), 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return
        sink(part[:-2])


async def read_answer(reader):
    answer = Answer()
    try:
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        parts = []

        def sink(part):
            parts.append(part)
            answer.body = b"".join(parts)

        if "chunked" in answer.headers.get("transfer-encoding", ""):
            await read_chunks(reader, sink)
            answer.whole = True
        elif "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    answer.error = "ended early"
                    return answer
                sink(data)
                left -= len(data)
            answer.whole = True
        else:
            while data := await reader.read(65536):
                sink(data)
            answer.whole = True
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        answer.error = f"{type(error).__name__}: {error}"[:120]
    return answer


class Deployment:
    """Control hosts, entry hosts and runners of one deployment, and the operator."""

    def __init__(self, folder, controls=3, entries=2, zones_borne=0):
        self.case = folder
        self.controls, self.entries = controls, entries
        self.seeds = [f"control{n}" for n in range(min(3, controls))]
        self.tolerance = {"machines": 1, "zones": zones_borne, "regions": 0}
        self.prefix, self.base = free_network()
        self.work = tempfile.mkdtemp(prefix="cuminfield-review-")
        self.start = time.monotonic()
        self.record = open(f"{folder}/record.txt", "w", encoding="utf-8", errors="replace")
        self.bounds = dict(BOUNDS)
        self.processes, self.tasks, self.runners = {}, [], []
        self.ended = []            # (name, code) of processes that ended without being asked to.
        self.founded = False
        with open(f"{ROOT}/deploy/host.ini", encoding="utf-8") as file:
            self.template = file.read()

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.record.flush()

    # Processes.
    def names(self):
        return ([f"control{n}" for n in range(self.controls)] +
                [f"entry{n}" for n in range(self.entries)])

    def ip(self, name):
        index = int(re.sub(r"\D", "", name))
        return f"{self.prefix}.{index + (10 if name.startswith('control') else 30)}"

    def address(self, name):
        return self.ip(name), self.base + (1 if name.startswith("control") else 2)

    def settings(self, name):
        control = name.startswith("control")
        zone = list(ZONES)[int(re.sub(r"\D", "", name)) % len(ZONES)]
        listen = {"control": f"{self.ip(name)}:{self.base + 1}"} if control else {
            "front": f"{self.ip(name)}:{self.base + 2}", "ready": f"{self.ip(name)}:{self.base + 3}"}
        fields = {
            "node_name": name, "ip": self.ip(name), "zone": zone, "region": ZONES[zone],
            "zones": ZONES, "listen": listen, "internal_ports": [self.base, self.base + 15],
            "seeds": [f"{self.ip(it)}:{self.base + 1}" for it in self.seeds],
            "bootstrap": not self.founded, "fault_tolerance": self.tolerance,
            "bounds": self.bounds}
        if control:
            fields["data_dir"] = f"{self.work}/{name}"
        path = f"{self.work}/{name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.template, fields))
        return path

    async def launch(self, name):
        os.makedirs(f"{self.work}/{name}", exist_ok=True)
        role = "control" if name.startswith("control") else "entry"
        with open(f"{self.work}/{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                PROGRAM, role, "--settings", self.settings(name), stdout=log, stderr=log,
                cwd=ROOT, start_new_session=True)
        process.expected = False
        self.processes[name] = process
        self.log(f"start {name} pid {process.pid}")
        self.spawn(self.watch(name, process))

    async def watch(self, name, process):
        code = await process.wait()
        self.log(f"end {name} pid {process.pid} code {code}{' (asked)' if process.expected else ''}")
        if not process.expected:
            self.ended.append((name, code))

    def send(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            self.log(f"signal {signal.Signals(number).name} to {name}")
            if number in (signal.SIGTERM, signal.SIGKILL):
                process.expected = True
            process.send_signal(number)

    def rss_mb(self, name):
        try:
            with open(f"/proc/{self.processes[name].pid}/status", encoding="ascii") as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    def host_log(self, name):
        try:
            with open(f"{self.work}/{name}.log", encoding="utf-8", errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    # HTTP.
    async def call(self, address, method, path, body=b"", headers=(), timeout=2.0):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout)
        except (OSError, asyncio.TimeoutError) as error:
            return Answer(error=f"connect: {error}")
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await asyncio.wait_for(read_answer(reader), timeout)
        except (OSError, asyncio.TimeoutError) as error:
            return Answer(error=f"no answer: {type(error).__name__}")
        finally:
            writer.close()

    async def operator(self, method, path, body=None, tries=20, first=None):
        """Sends an order as the pages say: to any control host, again after a failure."""
        data = json.dumps(body).encode() if body is not None else b""
        order = list(range(self.controls))
        random.shuffle(order)
        for n in range(tries):
            name = first if first and n == 0 else f"control{order[n % self.controls]}"
            answer = await self.call(self.address(name), method, path, data, timeout=1.5)
            if answer.whole and answer.status < 500:
                self.log(f"operator {method} {path} at {name}: {answer.status}")
                return answer
            await asyncio.sleep(min(0.1 * (n + 1), 0.8))
        return Answer()

    async def put_configuration(self, configuration):
        answer = await self.operator("PUT", "/v1/configuration", configuration)
        if answer.status != 200:
            raise CannotRun(f"configuration {configuration['version']}: {answer.status}")

    async def ready(self, name, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await self.call((self.ip(name), self.base + 3), "GET", "/v1/readiness")
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{name} is not ready after {seconds} s")

    async def begin(self, configuration, runners):
        """Starts all processes, the runners and the first configuration; waits for readiness."""
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; build it first")
        await asyncio.gather(*(self.launch(name) for name in self.names()))
        for runner in runners:
            await runner.begin(self)
            self.runners.append(runner)
        await self.put_configuration(configuration)
        self.founded = True
        await asyncio.gather(*(self.ready(f"entry{n}") for n in range(self.entries)))
        await asyncio.sleep(1.5)
        self.log("deployment is ready")

    def finish(self):
        for process in self.processes.values():
            process.expected = True
            if process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        self.record.close()
        if os.environ.get("KEEP"):
            print(f"kept {self.work}")
        else:
            shutil.rmtree(self.work, ignore_errors=True)


class Runner:
    """A sound runner: echoes ids, seals, counts runs. `work` is the coroutine that answers."""

    def __init__(self, index, service="s", slots=8, zone=None, engine=False, version="v1"):
        self.index, self.service, self.slots, self.engine = index, service, slots, engine
        self.zone = zone or list(ZONES)[index % len(ZONES)]
        self.version, self.life = version, 0
        self.id, self.born, self.sequence = f"i-{index}-0", int(time.time() * 1000), 0
        self.state, self.up = "ready", True
        self.runs = []             # (request id, method, target, headers, body)
        self.beats = True
        self.leave_acknowledged = None

    async def begin(self, deployment):
        self.deployment = deployment
        self.host, self.port = f"{deployment.prefix}.{100 + self.index}", deployment.base + 5
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)
        deployment.spawn(self.beat())

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "sequence": self.sequence, "born": self.born,
                **({"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}]}
                   if self.engine else {})}

    async def beat(self):
        while self.up:
            if self.beats:
                body = self.heartbeat()
                data = json.dumps(body).encode()
                order = random.sample(range(self.deployment.controls), self.deployment.controls)
                for n in order:
                    answer = await self.deployment.call(
                        self.deployment.address(f"control{n}"), "PUT", f"/v1/instances/{self.id}",
                        data, timeout=1.0)
                    if answer.whole and answer.status == 200:
                        if body["state"] == "draining" and self.leave_acknowledged is None:
                            self.leave_acknowledged = time.monotonic()
                            self.deployment.log(f"{self.id}: leave acknowledged by control{n}")
                        break
            await asyncio.sleep(1.2 if self.state == "ready" else 0.4)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                parts = []
                if "chunked" in headers.get("transfer-encoding", ""):
                    await read_chunks(reader, parts.append)
                elif "content-length" in headers:
                    parts.append(await reader.readexactly(int(headers["content-length"])))
                if not await self.handle(method, target, headers, b"".join(parts), writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("x-cuminfield-request-id", "")
        if headers.get("x-cuminfield-expect-instance", self.id) != self.id:
            self.reply(writer, 421, request, b"other", [f"X-Cuminfield-Instance-Id: {self.id}",
                                                        "X-Cuminfield-Not-Executed: 1"])
            return True
        if not request:
            self.reply(writer, 400, request, b"no id", ["X-Cuminfield-Not-Executed: 1"])
            return True
        self.runs.append((request, method, target, headers, body))
        self.deployment.log(f"run {request} at {self.id}: {method} {target[:60]}, body {len(body)} B")
        return await self.work(request, headers, body, writer)

    async def work(self, request, headers, body, writer):
        await asyncio.sleep(0.02)
        self.reply(writer, 200, request, f"answer {request}".encode(), [SEAL])
        return True

    @staticmethod
    def reply(writer, status, request, body, headers=()):
        lines = [f"HTTP/1.1 {status} X", f"X-Cuminfield-Request-Id: {request}", *headers,
                 f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


SEAL = "X-Cuminfield-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"


def route(name, kind, service="s", **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
            "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1,
            "public": False, "sticky": False, "resumable": False, **more}


def configuration(version, routes, services=("s",), keys=("key-a",), tenants=None, engines=()):
    engine = {"slots": 14, "kv_capacity_tokens": 782044, "kv_token_bytes": 18432, "stride": 5,
              "link_mbps": 370000.0, "models": [{"name": "m"}]}
    return {
        "version": version, "routes": routes,
        "services": [{"name": it, "health_path": "/health", "max_conns": 620, "protocol": "h1",
                      "tls": False, **({"engine": engine} if it in engines else {})}
                     for it in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "ten", "api_keys": list(keys), "priority": 1}]}


def run_case(play, **options):
    """Plays a case and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def main():
        deployment = Deployment(folder, **options)

        def stop():
            deployment.finish()
            os._exit(2)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        code = 2
        try:
            deployment.log(f"trouble: {'yes' if TROUBLE else 'no'}")
            broken = await asyncio.wait_for(play(deployment), 110)
            code = 1 if broken else 0
            deployment.log("RULE BROKEN" if broken else "rule held")
            print("rule broken" if broken else "rule held")
        except (CannotRun, asyncio.TimeoutError) as error:
            deployment.log(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            deployment.finish()
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(main())
