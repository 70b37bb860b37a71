"""CONFIG while routes and keys come and go and the core changes: issue 37.

    python3 review/entries/config_under_change.py SEED [KIND[,KIND]...]

The seed draws the deployment (3 control hosts, or 4 or 5 with 3 voters), the kinds of disruption, which of
them overlap, and the operator's changes. LENGTH sets the seconds of disruption (35), LOGS a folder in which a
run that broke something leaves its logs under SEED, TROUBLE=0 leaves the disruptions out. Exit codes as in
the other scripts: 1 something was broken, 0 nothing was, 2 could not run.

Every answer is judged by the set of configurations that may be in force for it, as RULES.md says it:
touch    older than config_apply_ms, by an entry host that was in touch;
stretch  older than config_apply_ms + max_stretch_ms, where the core was unstable but over half of it ran on;
back     older than what the entry host had shown over back_ms before;
denied   not in accord with any configuration of the run;
read     GET /v1/configuration with a version older than config_apply_ms, by any control host;
refused  an order that is valid, or one that had been acknowledged, got a 4xx.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, PROGRAM, TROUBLE, Client, Deployment, Link, Runner, now, run

APPLY, CONTACT, STRETCH, BACK, CATCH_UP = 2.5, 3.0, 5.0, 0.25, 4.0
LENGTH = float(os.environ.get("LENGTH", "35"))
SPARE = 9


class Wire(Link):
    """A link whose two directions can be stopped or delayed apart. What is stopped arrives late, or is lost
    with its connection, as the one who ends the stop says."""

    def __init__(self):
        super().__init__()
        self.stopped, self.delay = [False, False], [0.0, 0.0]

    async def serve(self, reader, writer):
        tasks, inner = [], None
        self.open.add(writer)
        try:
            while any(self.stopped):  # No handshake.
                await asyncio.sleep(0.02)
            await asyncio.sleep(sum(self.delay))
            inner_reader, inner = await asyncio.open_connection(*self.target)
            self.open.add(inner)
            for n, (source, target) in enumerate(((reader, inner), (inner_reader, writer))):
                queue = asyncio.Queue()
                tasks += [asyncio.create_task(self.receive(n, source, queue)),
                          asyncio.create_task(self.deliver(n, target, queue))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for task in tasks:
                task.cancel()
            for it in (writer, inner):
                if it:
                    self.open.discard(it)
                    it.transport.abort()

    async def receive(self, n, source, queue):
        try:
            while data := await source.read(65536):
                queue.put_nowait((now() + self.delay[n], data))
        except OSError:
            pass

    async def deliver(self, n, target, queue):
        try:
            while True:
                due, data = await queue.get()
                while (wait := due - now()) > 0 or self.stopped[n]:
                    await asyncio.sleep(min(max(wait, 0.005), 0.02))
                target.write(data)
                await target.drain()
        except OSError:
            pass

    def drop(self):
        for it in list(self.open):
            it.transport.abort()


class Field(Deployment):
    """Keeps what RULES.md calls stable and in touch."""

    def __init__(self, controls, entries, spare):
        super().__init__(tempfile.mkdtemp(prefix="config-under-change-"), controls, entries, later=spare)
        self.size = len(controls)
        self.stops, self.delays, self.frozen = [], [], set()
        self.core_calm = self.core_whole = self.majority_since = now()
        self.entry_calm = {it: now() for it in self.entries}
        self.settled = True  # Since the last loss of a disk all control hosts have been well for CATCH_UP.

    def peer_port(self, host):
        number = int(host.name.split("-")[1])
        return self.port + (30 + number if host.role == "entry" else 4 + number)

    async def start(self, configuration):
        hosts = self.controls + self.entries + self.later
        for x in hosts:
            for y in hosts:
                if x is not y and "control" in (x.role, y.role):
                    self.links[x, y] = wire = Wire()
                    await wire.start((y.ip, self.peer_port(x)), (y.ip, self.peer_port(y)))
        if not os.path.exists(PROGRAM):
            self.fail("target/cuminfield is missing: build it as the deploy file says")
        await asyncio.gather(*(self.launch(it) for it in self.controls + self.entries))
        status, _ = await self.order("PUT", "/v1/configuration", configuration, limit=10)
        if status != 200:
            self.fail("the first configuration was not acknowledged")
        self.first_start = False
        self.tasks += [asyncio.create_task(it) for it in (self.check_readiness(), self.monitor())]

    def note(self, text):
        self.log("-- " + text)

    # Directed data paths: x to y uses the connections that either of them has opened.
    def apply(self):
        for wire in self.links.values():
            wire.stopped, wire.delay = [False, False], [0.0, 0.0]
        for x, y in (pair for pairs in self.stops for pair in pairs):
            self.links[x, y].stopped[0] = self.links[y, x].stopped[1] = True
        for pairs, delay in self.delays:
            for x, y in pairs:
                self.links[x, y].delay[0] = self.links[y, x].delay[1] = delay

    def is_stopped(self, x, y):
        return self.links[x, y].stopped[0]

    def is_slow(self, x, y):
        return self.links[x, y].delay[0] > 0

    def touched(self, pairs):
        """A disruption begins or ends on these paths."""
        if any(x.role == y.role for x, y in pairs):
            self.core_calm = now()
        for host in {h for pair in pairs for h in pair if h.role == "entry"}:
            self.entry_calm[host] = now()

    async def stop_paths(self, pairs, duration, resume, text):
        pairs = tuple(pairs)
        self.note(f"{text}: {len(pairs)} paths stop for {duration:.1f} s")
        self.stops.append(pairs)
        self.apply()
        self.touched(pairs)
        await asyncio.sleep(duration)
        self.stops.remove(pairs)
        self.apply()
        if not resume:
            for x, y in pairs:
                self.links[x, y].drop()
                self.links[y, x].drop()
        self.touched(pairs)
        self.note(f"{text}: ends, {'late data arrives' if resume else 'data is lost with its connections'}")

    async def delay_paths(self, pairs, duration, delay, text):
        item = (tuple(pairs), delay)
        self.note(f"{text}: {len(item[0])} paths are delayed by {delay:.2f} s for {duration:.1f} s")
        self.delays.append(item)
        self.apply()
        self.touched(item[0])
        await asyncio.sleep(duration)
        self.delays.remove(item)
        self.apply()
        await asyncio.sleep(delay)
        self.touched(item[0])
        self.note(f"{text}: ends")

    async def freeze(self, host, duration):
        if not self.is_running(host) or host not in self.controls:
            return
        self.note(f"SIGSTOP {host.name} for {duration:.1f} s")
        self.frozen.add(host)
        host.process.send_signal(signal.SIGSTOP)
        self.core_calm = now()
        await asyncio.sleep(duration)
        self.frozen.discard(host)
        self.core_calm = now()
        if host.process.returncode is None:
            host.process.send_signal(signal.SIGCONT)
        self.note(f"SIGCONT {host.name}")

    async def lose(self, host, pause):
        """Replaces a control host by an empty one at another address, unless the disk of another one was
        lost so shortly before that what was acknowledged might be lost."""
        for _ in range(60):
            if self.settled and self.later and host in self.controls and self.is_running(host):
                break
            await asyncio.sleep(0.2)
        else:
            return
        new = self.later.pop(0)
        new.zone = host.zone
        self.settled, self.core_calm, self.core_whole = False, now(), now()
        self.note(f"replaces {host.name} by {new.name} after {pause:.1f} s")
        await self.replace(host, new, pause)
        self.core_calm = self.core_whole = now()

    async def restart_entry(self, host, pause):
        self.note(f"restarts {host.name} after {pause:.1f} s")
        self.entry_calm[host] = now() + 1000
        if self.is_running(host):
            await self.kill(host)
        await asyncio.sleep(pause)
        await self.launch(host)
        self.entry_calm[host] = now()

    def is_running(self, host):
        return host.process and host.process.returncode is None and host not in self.frozen

    def largest_part(self, linked, hosts):
        best, left = set(), set(hosts)
        while left:
            part, queue = set(), [left.pop()]
            while queue:
                x = queue.pop()
                part.add(x)
                more = {y for y in left if linked(x, y) and linked(y, x)}
                left -= more
                queue += more
            best = max(best, part, key=len)
        return best

    async def monitor(self):
        while True:
            at = now()
            running = [it for it in self.controls if self.is_running(it)]
            ready = [it for it in running if it.started - self.begin < 5 or at - it.started > CATCH_UP]
            part = self.largest_part(lambda x, y: not self.is_stopped(x, y), ready)
            if 2 * len(part) <= self.size:
                self.core_calm = at
            sound = self.largest_part(
                lambda x, y: not self.is_stopped(x, y) and not self.is_slow(x, y), ready)
            if 2 * len(sound) <= self.size:
                self.majority_since = at
            paths = [(x, y) for x in self.controls for y in self.controls if x is not y]
            if any(self.is_slow(*it) for it in paths):
                self.core_calm = at
            if len(part) < self.size or any(self.is_slow(*it) or self.is_stopped(*it) for it in paths):
                self.core_whole = at
            if at - self.core_whole > CATCH_UP:
                self.settled = True
            everyone = self.largest_part(lambda x, y: not self.is_stopped(x, y), running)
            for entry in self.entries:
                for it in running:
                    ways = [(entry, it), (it, entry)]
                    stopped = [self.is_stopped(*way) for way in ways]
                    if any(self.is_slow(*way) for way in ways) or any(stopped) != all(stopped) or (
                            any(stopped) and it in everyone):
                        self.entry_calm[entry] = at
            await asyncio.sleep(0.02)


class Versions:
    """The configurations of the run and what each allows."""

    def __init__(self, rng):
        self.rng, self.number, self.next = rng, 1, 0
        self.routes, self.keys, self.service = ["base"], ["key-0"], 0
        self.sent, self.bodies, self.acknowledged = [], {}, []
        self.first_with = {}

    def change(self):
        self.next += 1
        self.number += self.rng.randint(1, 3)
        self.routes.append(f"r{self.next}")
        removable = self.routes[1:-6]
        while removable and (len(self.routes) > 40 or self.rng.random() < 0.4):
            gone = self.rng.choice(removable)
            removable.remove(gone)
            self.routes.remove(gone)
        if self.rng.random() < 0.5:
            self.keys.append(f"key-{self.next}")
        if len(self.keys) > 3 and self.rng.random() < 0.5:
            self.keys.remove(self.rng.choice(self.keys[1:-2]))
        if self.rng.random() < 0.3:
            self.service = 1 - self.service

    def body(self):
        def route(name, service, public=True):
            return {"name": name, "host": "review.example", "path_prefix": f"/{name}/", "kind": "safe",
                    "timeout_ms": 2000, "target_latency_ms": 200, "priority": 0, "service": service,
                    "max_attempts": 2, "public": public}
        moving = ("kassa", "kelder")[self.service]
        body = {"version": self.number,
                "services": [{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
                              "tls": False} for name in ("kassa", "kelder")],
                "routes": [route(it, "kassa") for it in self.routes] +
                          [route("keyed", "kassa", False), route("moving", moving)],
                "tenants": [{"name": "huurder", "api_keys": list(self.keys), "priority": 0}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
        self.sent.append((self.number, frozenset(self.routes), frozenset(self.keys), moving))
        self.bodies[self.number] = body
        for it in (*self.routes, *self.keys):
            self.first_with.setdefault(it, self.number)
        return body

    def newest_acknowledged(self, before):
        return max((n for n, at in self.acknowledged if at < before), default=0)

    def acknowledged_at(self, number):
        return min((at for n, at in self.acknowledged if n >= number), default=0)

    def allows(self, lowest, upto, outcome, path, key):
        """True if some version from `lowest` to the `upto`-th that was sent gives this outcome."""
        for number, routes, keys, moving in self.sent[:upto]:
            if number < lowest:
                continue
            known = path in routes or path in ("keyed", "moving")
            if outcome == 404:
                good = not known
            elif outcome in (401, 403):
                good = path == "keyed" and key not in keys
            else:
                good = known and (path != "keyed" or key in keys) and (
                    path != "moving" or outcome == moving) and (path == "moving" or outcome == "kassa")
            if good:
                return True
        return False


class Case:
    def __init__(self, seed, kinds):
        self.rng = random.Random(seed)
        self.seed = seed
        self.versions = Versions(random.Random(seed + 1))
        self.kinds = kinds or sorted(it for it in KINDS if it != "voters_cut")
        size = self.rng.choice((3, 3, 4, 5))
        if not kinds and size == 3:
            self.kinds.remove("learner_cut")
        elif size == 3 and "learner_cut" in kinds:
            size = self.rng.choice((4, 5))
        if "voters_cut" in self.kinds:
            size = 5
        zones = [f"zone-{it}" for it in "abcde"[:self.rng.choice((1, 2, 3, size))]]
        controls = [zones[n % len(zones)] for n in range(size)]
        entries = [zones[n % len(zones)] for n in range(max(4, len(zones)))]
        self.d = Field(controls, entries, [zones[0]] * SPARE)
        self.ran, self.broken, self.answers, self.calm_answers = {}, [], {}, {}
        self.shown = {it: [] for it in self.d.entries}
        self.longest_order, self.stop = 0.0, asyncio.Event()

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.d.log(f"BROKEN {rule}: {text}")

    # The operator.
    async def operate(self):
        v, d = self.versions, self.d
        while not self.stop.is_set():
            v.change()
            body, sent = v.body(), now()
            d.log(f"configuration {v.number} sent")
            status, host = await d.order("PUT", "/v1/configuration", body, limit=10)
            if status == 200:
                v.acknowledged.append((v.number, now()))
                d.log(f"configuration {v.number} acknowledged by {host.name}")
            elif status:
                self.break_rule("refused", f"configuration {v.number}: {status} by {host.name}")
            else:
                d.log(f"configuration {v.number} got no answer")
            self.longest_order = max(self.longest_order, now() - sent)
            if v.acknowledged and v.rng.random() < 0.1:
                old = v.rng.choice(v.acknowledged)[0]
                status, host = await d.order("PUT", "/v1/configuration", v.bodies[old], limit=4)
                if status not in (0, 200):
                    self.break_rule("refused", f"configuration {old} again: {status} by {host.name}")
            await asyncio.sleep(v.rng.uniform(0.5, 1.0))

    async def read(self):
        while not self.stop.is_set():
            for host in list(self.d.controls):
                due, sent = self.versions.newest_acknowledged(now() - APPLY), now()
                try:
                    status, _, body = await asyncio.wait_for(
                        self.d.call(host.ip, self.d.port, "GET", "/v1/configuration"), 1)
                    if status == 200 and json.loads(body)["version"] < due:
                        self.break_rule("read", f"{host.name} answers version {json.loads(body)['version']}, "
                                                f"{due} acknowledged {sent - self.versions.acknowledged_at(due):.1f} s before")
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    pass
                await asyncio.sleep(0.1)

    # The requests.
    def draw(self, rng, newest_only):
        v = self.versions
        due = v.newest_acknowledged(now() - APPLY)
        if newest_only:
            name = max((it for it in v.first_with if it.startswith("r") and v.first_with[it] <= due),
                       key=lambda it: v.first_with[it], default="base")
            return name, None
        kind = rng.randrange(5)
        names = [it for it in v.first_with if it.startswith("r")][-25:]
        if kind < 2 and names:
            return rng.choice(names), None
        if kind == 2:
            keys = [it for it in v.first_with if it.startswith("key")][-8:]
            return "keyed", rng.choice(keys or ["key-0"])
        return ("moving", None) if kind == 3 else ("base", None)

    async def probe(self, entry, newest_only):
        client = Client(self.d, f"probe-{entry.name}", entry.zone, fixed=entry)
        rng = random.Random(f"{self.seed} {entry.name} {newest_only}")
        while not self.stop.is_set():
            path, key = self.draw(rng, newest_only)
            life, sent = entry.started, now()
            request, _, status = await client.send(
                "POST", f"/{path}/x", [f"X-Api-Key: {key}"] if key else [], timeout=1.0)
            self.answers[status] = self.answers.get(status, 0) + 1
            if entry.started == life:
                self.judge(entry, request, path, key, status, sent)
            await asyncio.sleep(0.05)
        client.close()

    def judge(self, entry, request, path, key, status, sent):
        d, v, done = self.d, self.versions, now()
        calm = max(d.core_calm, d.entry_calm[entry])
        in_touch = sent - calm > CONTACT
        if in_touch:
            self.calm_answers[status] = self.calm_answers.get(status, 0) + 1
        outcome = self.ran.get(request) if status == 200 else status
        if outcome not in (401, 403, 404, "kassa", "kelder"):
            return
        upto = len(v.sent)

        def check(rule, lowest):
            if v.allows(lowest, upto, outcome, path, key):
                return True
            old = sent - v.acknowledged_at(lowest) if lowest else 0
            self.break_rule(rule, f"{request} {entry.name} /{path}/ {key or ''}: {outcome}; {lowest} "
                                  f"acknowledged {old:.2f} s before, {sent - d.core_calm:.1f} s after the core's and "
                                  f"{sent - d.entry_calm[entry]:.1f} s after its own last disruption")
            return False

        good = check("denied", 0)
        good = good and check("back", max(
            (n for n, at in self.shown[entry] if at[0] == entry.started and at[1] + BACK < sent), default=0))
        if good and in_touch:
            good = check("touch", v.newest_acknowledged(sent - APPLY))
        if good and sent - d.entry_calm[entry] > CONTACT:
            lowest = v.newest_acknowledged(sent - APPLY - STRETCH)
            if lowest and d.majority_since < v.acknowledged_at(lowest):
                check("stretch", lowest)
        if status == 200:
            shown = v.first_with.get(key or path, 0)
            if shown > max((n for n, at in self.shown[entry] if at[0] == entry.started), default=0):
                self.shown[entry].append((shown, (entry.started, done)))

    # The disruptions.
    async def trouble(self):
        d, rng, end = self.d, self.rng, now() + LENGTH
        while now() < end:
            count = rng.choice((1, 1, 2, 2, 3))
            chosen = rng.sample(self.kinds, min(count, len(self.kinds)))
            d.note("round: " + ", ".join(chosen))

            async def begin(kind, wait):
                await asyncio.sleep(wait)
                await KINDS[kind](self, d, rng)

            await asyncio.gather(*(begin(it, rng.uniform(0, 3) if n else 0) for n, it in enumerate(chosen)))
            await asyncio.sleep(rng.choice((0.5, 2, 5)))

    async def main(self):
        d = self.d
        d.log(f"seed {self.seed}: control hosts {[it.zone for it in d.controls]}, "
              f"entry hosts {[it.zone for it in d.entries]}")
        await d.start(self.versions.body())
        self.versions.acknowledged.append((1, now()))
        for n, service in enumerate(("kassa", "kassa", "kelder", "kelder")):
            runner = Runner(d, n, service, d.entries[n % 2].zone, slots=20, work=0.002)
            runner.on_run = lambda it, request, at, headers: self.ran.__setitem__(request, it.service)
            await runner.start()
        await asyncio.sleep(5)
        tasks = [asyncio.create_task(it) for it in (self.operate(), self.read())]
        tasks += [asyncio.create_task(self.probe(it, newest)) for it in d.entries for newest in (True, False)]
        await asyncio.sleep(3)
        if TROUBLE:
            await self.trouble()
        else:
            await asyncio.sleep(LENGTH)
        d.note("calm")
        await asyncio.sleep(8)
        self.stop.set()
        await asyncio.gather(*tasks)
        ended = [it.name for it in d.controls + d.entries if it.process.returncode is not None]
        counts = {rule: sum(it == rule for it, _ in self.broken) for rule, _ in self.broken}
        lines = [f"seed {self.seed}: {d.size} control hosts, {len(self.versions.acknowledged)} of "
                 f"{len(self.versions.sent)} configurations acknowledged, the slowest after {self.longest_order:.1f} s; "
                 f"answers {dict(sorted(self.answers.items()))}, in touch {dict(sorted(self.calm_answers.items()))}; "
                 f"broken {counts or 'nothing'}" + (f"; ended by themselves: {ended}" if ended else "")]
        lines += [f"  {rule}: {text}" for rule, text in self.broken[:3]]
        for it in lines:
            d.log(it)
            print(it)
        bad = bool(self.broken or ended)
        if os.environ.get("LOGS"):
            folder = os.path.join(os.environ["LOGS"], str(self.seed))
            d.record.flush()
            if bad:
                shutil.copytree(d.work, folder, dirs_exist_ok=True)
                shutil.copy(os.path.join(d.folder, "record.txt"), folder)
        if os.environ.get("KEEP"):
            print(f"record: {d.folder}")
        else:
            shutil.rmtree(d.folder, ignore_errors=True)
        d.end(BROKEN if bad else HELD)


def between(some, others):
    """All paths in both directions."""
    return [pair for x in some for y in others if x is not y for pair in ((x, y), (y, x))]


def others_of(d, some):
    return [it for it in d.controls if it not in some]


async def replace_all(case, d, rng):
    for host in list(d.controls):
        await d.lose(host, rng.uniform(0.2, 2))
        await asyncio.sleep(rng.uniform(4, 6))


async def replace_one(case, d, rng):
    await d.lose(rng.choice(d.controls), rng.uniform(0.2, 2))


async def freeze(case, d, rng):
    await d.freeze(rng.choice(d.controls), rng.choice((rng.uniform(0.5, 2), rng.uniform(3, 8))))


async def freeze_beside_replacement(case, d, rng):
    frozen, lost = rng.sample(d.controls, 2)
    await asyncio.gather(d.freeze(frozen, rng.uniform(2, 6)), d.lose(lost, rng.uniform(0.2, 2)))


async def one_way_core(case, d, rng):
    x, y = rng.sample(d.controls, 2)
    await d.stop_paths([(x, y)], rng.uniform(2, 9), rng.random() < 0.5, f"{x.name} to {y.name}")


async def one_way_from(case, d, rng):
    """Data of one control host to the others stops, or that to it."""
    x = rng.choice(d.controls)
    pairs = [(x, y) for y in others_of(d, [x])]
    deaf = rng.random() < 0.5
    await d.stop_paths([(y, x) for x, y in pairs] if deaf else pairs, rng.uniform(2, 9), rng.random() < 0.5,
                       f"{x.name} is {'deaf' if deaf else 'mute'} in the core")


async def one_way_entry(case, d, rng):
    """Feeds or reports stop on some links between entry hosts and control hosts."""
    entries = rng.sample(d.entries, rng.randint(1, len(d.entries)))
    controls = rng.sample(d.controls, rng.randint(1, len(d.controls)))
    pairs = [(x, y) for x in controls for y in entries]
    feeds = rng.random() < 0.7
    await d.stop_paths(pairs if feeds else [(y, x) for x, y in pairs], rng.uniform(1, 6), rng.random() < 0.5,
                       "feeds" if feeds else "reports")


async def delay_core(case, d, rng):
    x = rng.choice(d.controls)
    ways = [(x, y) for y in others_of(d, [x])]
    pairs = rng.choice((ways, [(y, x) for x, y in ways], rng.sample(ways, 1)))
    await d.delay_paths(pairs, rng.uniform(2, 8), rng.uniform(0.2, 3), f"core at {x.name}")


async def delay_entry(case, d, rng):
    entries = rng.sample(d.entries, rng.randint(1, len(d.entries)))
    controls = rng.sample(d.controls, rng.randint(1, len(d.controls)))
    pairs = [(x, y) for x in controls for y in entries]
    await d.delay_paths(pairs if rng.random() < 0.7 else [(y, x) for x, y in pairs], rng.uniform(2, 8),
                        rng.uniform(0.2, 3), "links of entry hosts")


async def restart_entries(case, d, rng):
    for host in rng.sample(d.entries, rng.randint(1, 2)):
        await d.restart_entry(host, rng.uniform(0, 1.5))


async def split_core(case, d, rng):
    part = rng.sample(d.controls, rng.randint(1, len(d.controls) // 2))
    await d.stop_paths(between(part, others_of(d, part)), rng.uniform(2, 10), rng.random() < 0.5,
                       f"core without {[it.name for it in part]}")


async def isolate(case, d, rng):
    """A control host is cut off from the others and from the entry hosts."""
    x = rng.choice(d.controls)
    await d.stop_paths(between([x], others_of(d, [x]) + d.entries), rng.uniform(2, 9), rng.random() < 0.5,
                       f"{x.name} off")


async def cut_after_replacement(case, d, rng):
    """All but one control host are replaced, then that one or the newest one is cut off from the others, not
    from the entry hosts."""
    hosts = list(d.controls)
    for host in hosts[1:]:
        await d.lose(host, rng.uniform(0.2, 1.5))
        await asyncio.sleep(rng.uniform(4, 5))
    x = rng.choice((d.controls[0], d.controls[-1]))
    await d.stop_paths(between([x], others_of(d, [x])), rng.uniform(6, 9), rng.random() < 0.5, f"{x.name} out")


async def learner_cut(case, d, rng):
    spare = d.controls[3:] or d.controls[-1:]  # One may be missing at the moment.
    part = rng.sample(spare, rng.randint(1, len(spare)))
    await d.stop_paths(between(part, others_of(d, part)), rng.uniform(6, 9), rng.random() < 0.5,
                       f"{[it.name for it in part]} without a vote")


async def voters_cut(case, d, rng):
    """Two of the three voters are cut off one shortly after the other; three of five control hosts stay
    connected, without a quorum. Only by name: this is more than `losses` lets expect."""
    voters = [it for it in d.controls if int(it.name.split("-")[1]) < 3]
    if len(voters) == 3:
        first, second = rng.sample(voters, 2)

        async def cut_second():
            await asyncio.sleep(rng.uniform(0.3, 0.7))
            await d.stop_paths(between([second], others_of(d, [second])), 8, False, f"{second.name} out")
        await asyncio.gather(cut_second(), d.stop_paths(
            between([first], others_of(d, [first])), 9, False, f"{first.name} out"))


KINDS = {it.__name__: it for it in (
    replace_all, replace_one, freeze, freeze_beside_replacement, one_way_core, one_way_from, one_way_entry,
    delay_core, delay_entry, restart_entries, split_core, isolate, cut_after_replacement, learner_cut, voters_cut)}


async def main():
    kinds = sys.argv[2].split(",") if len(sys.argv) > 2 else None
    await Case(int(sys.argv[1]), kinds).main()


run(main)
