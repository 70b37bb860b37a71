"""CONFIG and LOST after control hosts were replaced: issue 40.

    python3 review/entries/replaced_control_hosts.py SEED [--small] [--entries N] [--rounds N] [--freeze]
                                                          [--plan KIND[,KIND]...] [--by-start]

Six control hosts, two losses borne; with --small three and one. An operator sends a configuration about every
second, one at a time. The seed draws what happens: control hosts are replaced (ended by SIGKILL or SIGTERM, with an
empty successor after 0.5 to 3 s, or with the successor first), one or two at once; leaders are ended and
restarted; a disk is lost; settings files change, with SIGHUP; all control hosts are killed at once. No more hosts
are lost at a time than is borne; a host counts as lost until catch_up_s after its start, one that was removed
until catch_up_s after that and after its successor's start. At last as many disks as are borne are lost and all
other control hosts are killed at once, with or without the entry hosts.

--entries sets the number of entry hosts (the seed draws 3 to 6), --rounds that of disruptions (5 to 7). With --freeze
leaders are also frozen for 1 to 8 s, some while another control host is replaced. --plan names the disruptions, which
are repeated in turn without pauses: methods of Case that begin with replace_, restart_, lose_, kill_ or freeze_. With
--by-start a host that was removed no longer counts as lost catch_up_s after its successor's start, also where the
successor came first.

LOGS names a folder in which a run that broke something leaves its logs under SEED; KEEP=1 keeps the hosts' folders;
TMPDIR should name a folder in memory where others use the disk, too: a sync that takes seconds is another case than
this one. Exit codes: 1 something was broken, 0 nothing was, 2 could not run. Timing isn't seeded: a seed repeats the
plan, not the run.

The bounds are those of the pages. What is judged:
join     a control host that was started knows no leader catch_up_s later, though the group acknowledged two
         configurations that were sent meanwhile;
ack      a configuration has no acknowledgement after ack_ms in which the core was stable;
herd     recovery_s after all were killed at once, some control host hasn't answered the newest acknowledged version;
final    the same after the last loss, or no new configuration is taken by then (ack_ms later at the latest);
read     GET /v1/configuration with a version older than one read before the request was sent, or one that was
         acknowledged over config_apply_ms before it;
entry    recovery_s after the last loss an entry host doesn't serve the newest acknowledged version;
config   an entry host in touch answers 404 on a route that was acknowledged over config_apply_ms before;
serve    an entry host in touch serves nothing for recovery_s;
ended    a process ended by itself.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BROKEN, HELD, PROGRAM, Client, Deployment, Runner, now, run

SPARE = 60
MARGIN = 0.3  # Between the end of a bound and the next loss, so that the bound can be judged.
GRACE = 8.0
ROUTES = 30
SETTLED = 1.0


class Bounds:
    def __init__(self, small):
        self.catch_up, self.recovery, self.ack = (4.0, 12.0, 4.0) if small else (6.0, 15.0, 5.0)
        self.contact, self.apply = (3.0, 2.5) if small else (4.0, 3.0)


def configuration(version):
    def route(name):
        return {"name": name, "host": "review.example", "path_prefix": f"/{name}/", "kind": "safe",
                "timeout_ms": 2000, "target_latency_ms": 200, "priority": 0, "service": "kassa",
                "max_attempts": 2, "public": True}
    return {"version": version,
            "services": [{"name": "kassa", "health_path": "/health", "max_conns": 110, "protocol": "h1",
                          "tls": False}],
            "routes": [route("base")] + [route(f"r{n}") for n in range(max(1, version - ROUTES), version + 1)],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Core(Deployment):
    """Control hosts on direct links; keeps which of them count as lost."""

    def __init__(self, controls, entries, losses, bounds, silent, in_place):
        super().__init__(tempfile.mkdtemp(prefix="replaced-control-hosts-"), controls, entries,
                         bounds={"losses": losses}, later=[controls[0]] * SPARE)
        first, second, third = self.block.split(".")
        for n, it in enumerate(self.entries):
            it.ip = f"{first}.{second}.{int(third) + 1}.{n + 1}"
        self.losses, self.pages = losses, bounds
        self.silent = silent      # Hosts that are gone don't answer; else they refuse connections.
        self.in_place = in_place  # A successor takes its predecessor's place in the operator's list.
        self.lost, self.held = {}, []
        self.core_event = now()   # The last moment at which the core was not stable.
        self.offsets = {}         # Where the log of the present life of a host begins.
        self.expected = set()     # Hosts that were told to end.
        self.frozen = set()

    def peer_port(self, host):
        return self.port + 3

    def seeds(self):
        running = [it for it in self.controls if self.is_running(it) and it not in self.frozen]
        return running[:3] if len(running) >= 3 else self.controls[:3]

    @staticmethod
    def is_running(host):
        return host.process is not None and host.process.returncode is None

    def note(self, text):
        self.log("-- " + text)

    async def launch(self, host):
        path = f"{self.work}/{host.name}.log"
        self.offsets[host] = os.path.getsize(path) if os.path.exists(path) else 0
        if host.role == "control":
            self.core_event = now()
        await super().launch(host)
        self.expected.discard(host)

    async def finish(self, host, kind):
        """Ends a process by SIGKILL or SIGTERM."""
        self.expected.add(host)
        if host.role == "control":
            self.core_event = now()
        if self.is_running(host):
            host.process.send_signal(kind)
            try:
                await asyncio.wait_for(host.process.wait(), GRACE)
            except asyncio.TimeoutError:
                host.process.kill()
                await host.process.wait()
        if host.role == "control":
            self.core_event = now()
        self.log(f"{signal.Signals(kind).name} {host.name}")

    def lost_now(self):
        return sum(until > now() for until in self.lost.values())

    async def borne(self, count):
        """Waits until the loss of `count` more hosts is borne."""
        while self.lost_now() + count > self.losses:
            await asyncio.sleep(0.05)

    def hold(self, host):
        """What is sent to a host that is gone stays without an answer: its accept queue is full."""
        for port in (self.port, self.peer_port(host)):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((host.ip, port))
            except OSError:
                listener.close()
                continue
            listener.listen(0)
            self.held.append(listener)
            for _ in range(2):
                it = socket.socket()
                it.setblocking(False)
                it.connect_ex((host.ip, port))
                self.held.append(it)

    def leader(self):
        """The running host that last logged that it leads."""
        best = None
        for host in self.controls:
            if self.is_running(host):
                for line in self.lines(host):
                    if "event=leader-known" in line and "role=leader" in line:
                        best = max(best or ("",), (line.split()[0], host.name, host), key=lambda it: it[0])
        return best[2] if best else None

    def lines(self, host):
        """The log of the present life."""
        try:
            with open(f"{self.work}/{host.name}.log", encoding="utf-8", errors="replace") as file:
                file.seek(self.offsets.get(host, 0))
                return file.read().splitlines()
        except OSError:
            return []


class Case:
    def __init__(self, args):
        seed, small, entries = args.seed, args.small, args.entries
        self.seed, self.rng, self.small = seed, random.Random(seed), small
        self.rounds, self.freezes, self.plan, self.by_start = args.rounds, args.freeze, args.plan, args.by_start
        rng = self.rng
        self.pages = Bounds(small)
        size, losses = (3, 1) if small else (6, 2)
        zones = [f"zone-{it}" for it in "abcdef"[:size]]
        count = rng.randint(3, 6)
        count = entries or count
        self.d = Core(zones, [zones[n % size] for n in range(count)], losses, self.pages,
                      silent=rng.random() < 0.5, in_place=rng.random() < 0.5)
        self.version, self.sent_at = 1, {}
        self.acked = {}               # Version to the time of its acknowledgement.
        self.acknowledged = asyncio.Event()
        self.pending = None
        self.read_back = (0, 0.0)     # The newest version read, and when.
        self.broken, self.tasks, self.joins = [], [], []
        self.stop = asyncio.Event()
        self.last_served = {}
        self.answers, self.slowest, self.final, self.operator = {}, 0.0, False, None

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.d.note(f"BROKEN {rule}: {text}")

    # The operator and the readers.
    async def operate(self):
        while not self.stop.is_set():
            self.version += 1
            await self.order(self.version, 10)
            await asyncio.sleep(0.7)

    async def order(self, version, limit):
        d, sent = self.d, now()
        self.sent_at[version], self.pending = sent, version
        status, host = await d.order("PUT", "/v1/configuration", configuration(version), limit=limit)
        self.pending = None
        self.slowest = max(self.slowest, now() - sent)
        d.log(f"configuration {version}: {status} by {host.name if host else 'nobody'} after {now() - sent:.2f} s")
        if status == 200:
            self.acked[version] = now()
            self.acknowledged.set()
        elif status:
            self.break_rule("ack", f"configuration {version} is refused: {status} by {host.name}")
        return status

    def newest(self, before=float("inf")):
        return max((n for n, at in self.acked.items() if at < before), default=0)

    async def watch_order(self):
        told = None
        while not self.stop.is_set():
            version = self.pending
            if version and version != told and not self.final:
                since = max(self.sent_at[version], self.d.core_event + self.pages.contact)
                if now() - since > self.pages.ack:
                    told = version
                    self.break_rule("ack", f"configuration {version}: none in {now() - since:.1f} s of a stable core")
            await asyncio.sleep(0.1)

    async def get(self, host, limit=1.0):
        """The version that a control host answers, 0 if none. Judged."""
        d = self.d
        (version, at), sent = self.read_back, now()
        due = self.newest(sent - self.pages.apply)
        try:
            status, _, body = await asyncio.wait_for(d.call(host.ip, d.port, "GET", "/v1/configuration"), limit)
            if status != 200:
                return 0
            answer = json.loads(body)["version"]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0
        if answer < version:
            self.break_rule("read", f"{host.name} answers {answer}; {version} was read {sent - at:.2f} s before")
        elif answer < due:
            self.break_rule("read", f"{host.name} answers {answer}; {due} was acknowledged "
                                    f"{sent - self.acked[due]:.2f} s before")
        if answer > self.read_back[0]:
            self.read_back = (answer, now())
        return answer

    async def read(self):
        while not self.stop.is_set():
            for host in list(self.d.controls):
                if self.d.is_running(host) and host not in self.d.frozen:
                    await self.get(host)
                await asyncio.sleep(0.1)

    async def wait_read(self, rule, since):
        """Every control host answers the newest acknowledged version within recovery_s after `since`."""
        newest, read = self.newest(), {}

        async def wait(host):
            while now() - since < self.pages.recovery:
                if await self.get(host, 2.0) >= newest:
                    read[host.name] = now() - since
                    return
                await asyncio.sleep(0.1)
        hosts = list(self.d.controls)
        await asyncio.gather(*(wait(it) for it in hosts))
        missing = [it.name for it in hosts if it.name not in read]
        self.d.note(f"{newest} read back after {[round(it, 1) for it in read.values()]} s, not by {missing}")
        if missing:
            self.break_rule(rule, f"{newest} is not read back in {self.pages.recovery:.0f} s from {missing}")
        return len(read), max(read.values(), default=-1)

    # The entry hosts.
    async def probe(self, entry, pause):
        client, d = Client(self.d, f"probe-{entry.name}", entry.zone, fixed=entry), self.d
        rng = random.Random(f"{self.seed} {entry.name}")
        await asyncio.sleep(rng.uniform(0, pause))
        told = 0.0
        while not self.stop.is_set():
            sent, life = now(), entry.started
            due = self.newest(sent - self.pages.apply)
            path = rng.choice((f"r{due}", "base")) if due else "base"
            _, _, status = await client.send("POST", f"/{path}/x", timeout=1.0)
            self.answers[status] = self.answers.get(status, 0) + 1
            calm = max(d.core_event, entry.started)
            if status in (401, 403, 404) and entry.started == life:
                if path == "base" or sent - calm > self.pages.contact:
                    self.break_rule("config", f"{entry.name} /{path}/: {status}; acknowledged "
                                              f"{sent - self.acked.get(due, sent):.1f} s, core event "
                                              f"{sent - d.core_event:.1f} s before")
            if status == 200:
                self.last_served[entry] = now()
            since = max(self.last_served.get(entry, 0), calm, told)
            if now() - since > self.pages.recovery:
                told = now()
                self.break_rule("serve", f"{entry.name} serves nothing for {now() - since:.1f} s, last {status}")
            await asyncio.sleep(pause)
        client.close()

    async def wait_served(self, since):
        newest, served = self.newest(), {}

        async def wait(entry):
            client = Client(self.d, f"final-{entry.name}", entry.zone, fixed=entry)
            while now() - since < self.pages.recovery:
                _, _, status = await client.send("POST", f"/r{newest}/x", timeout=1.0)
                if status == 200:
                    served[entry.name] = now() - since
                    break
                await asyncio.sleep(0.2)
            client.close()
        await asyncio.gather(*(wait(it) for it in self.d.entries))
        missing = [it.name for it in self.d.entries if it.name not in served]
        if missing:
            self.break_rule("entry", f"{newest} is not served in {self.pages.recovery:.0f} s by {missing}")
        return len(served), max(served.values(), default=-1)

    # The joining of hosts.
    def watch_join(self, host, what):
        self.tasks.append(asyncio.create_task(self.follow_join(host, what, host.started)))

    async def follow_join(self, host, what, life):
        d, told = self.d, False
        while host.started == life and d.is_running(host) and not self.final:
            known = next((it for it in d.lines(host) if "event=leader-known" in it), None)
            took = now() - life
            if known:
                d.note(f"{host.name} ({what}) knows a leader after {took:.1f} s: {known.split(' ', 1)[1][:160]}")
                self.joins.append(took)
                return
            if took > self.pages.catch_up and not told:
                worked = [n for n, at in self.acked.items()
                          if self.sent_at[n] > life and at < life + self.pages.catch_up]
                if len(worked) >= 2:
                    told = True
                    self.break_rule("join", f"{host.name} ({what}) knows no leader after {took:.1f} s; "
                                            f"{len(worked)} configurations were acknowledged meanwhile")
            await asyncio.sleep(0.1)

    # What happens to the core.
    def successor(self, old):
        new = self.d.later.pop(0)
        new.zone = old.zone
        return new

    def enlist(self, old, new):
        """The operator's list from now on."""
        d = self.d
        at = d.controls.index(old)
        d.controls.insert(at + 1, new) if d.in_place else d.controls.append(new)

    def pick(self, count=1):
        d, rng = self.d, self.rng
        leader = d.leader()
        way = rng.choice(("oldest", "oldest", "any", "leader", "not leader", "seed"))
        hosts = list(d.controls)
        if way == "any":
            rng.shuffle(hosts)
        elif way == "leader":
            hosts.sort(key=lambda it: it is not leader)
        elif way == "not leader":
            rng.shuffle(hosts)
            hosts.sort(key=lambda it: it is leader)
        elif way == "seed":
            hosts = rng.sample(hosts[:3], min(3, len(hosts)))
        else:
            hosts.sort(key=lambda it: it.started)
        return hosts[:count]

    async def substitute(self, old, first=None, pause=None):
        d, rng = self.d, self.rng
        how = rng.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
        first = rng.random() < 0.25 if first is None else first
        pause = rng.uniform(0.5, 3) if pause is None else pause
        new = self.successor(old)
        d.note(f"replaces {old.name} by {new.name}, {how.name}, " +
               (f"successor {pause:.1f} s before" if first else f"successor {pause:.1f} s after"))
        d.lost[old] = float("inf")
        if first:
            self.enlist(old, new)
            await d.launch(new)
            self.watch_join(new, "successor")
            await asyncio.sleep(pause)
            await d.finish(old, how)
            d.controls.remove(old)
        else:
            await d.finish(old, how)
            self.enlist(old, new)
            d.controls.remove(old)
        if d.silent:
            d.hold(old)
        if not first:
            await asyncio.sleep(pause)
            await d.launch(new)
            self.watch_join(new, "successor")
        counted_from = new.started if self.by_start else now()
        d.lost[old] = max(now(), counted_from + self.pages.catch_up) + MARGIN

    async def restart(self, host, lose_disk=False):
        d, rng = self.d, self.rng
        how = rng.choice((signal.SIGKILL, signal.SIGTERM))
        pause = rng.uniform(0.3, 2.5)
        d.note(f"restarts {host.name}{' without its disk' if lose_disk else ''}, {how.name}, after {pause:.1f} s")
        d.lost[host] = float("inf")
        await d.finish(host, how)
        if lose_disk:
            shutil.rmtree(f"{d.work}/{host.name}/state")
        await asyncio.sleep(pause)
        await d.launch(host)
        self.watch_join(host, "without its disk" if lose_disk else "restarted")
        d.lost[host] = now() + self.pages.catch_up + MARGIN

    async def replace_one(self):
        await self.d.borne(1)
        await self.substitute(self.pick()[0])

    async def replace_leader(self):
        """The successor comes half a second later."""
        await self.d.borne(1)
        if leader := self.d.leader():
            await self.substitute(leader, False, 0.5)

    async def replace_leader_late(self):
        """The successor came first."""
        await self.d.borne(1)
        if leader := self.d.leader():
            await self.substitute(leader, True, self.rng.uniform(0.5, 1))

    async def replace_two(self):
        await self.d.borne(2)
        await asyncio.gather(*(self.substitute(it) for it in self.pick(2)))

    async def replace_beside_leader(self):
        await self.d.borne(2)
        leader = self.d.leader()
        others = [it for it in self.d.controls if it is not leader]
        jobs = [self.substitute(self.rng.choice(others))] + ([self.restart(leader)] if leader else [])
        await asyncio.gather(*jobs)

    async def freeze(self, host):
        d, pause = self.d, self.rng.choice((self.rng.uniform(1, 3), self.rng.uniform(3, 8)))
        d.note(f"SIGSTOP {host.name} for {pause:.1f} s")
        d.lost[host] = float("inf")
        d.frozen.add(host)
        host.process.send_signal(signal.SIGSTOP)
        d.core_event = now()
        await asyncio.sleep(pause)
        d.core_event = now()
        host.process.send_signal(signal.SIGCONT)
        d.frozen.discard(host)
        d.note(f"SIGCONT {host.name}")
        d.lost[host] = now() + self.pages.catch_up + MARGIN

    async def freeze_leader(self):
        await self.d.borne(1)
        if leader := self.d.leader():
            await self.freeze(leader)

    async def replace_beside_frozen_leader(self):
        await self.d.borne(2)
        if leader := self.d.leader():
            others = [it for it in self.d.controls if it is not leader]
            await asyncio.gather(self.freeze(leader), self.substitute(self.rng.choice(others)))

    async def restart_leader(self):
        await self.d.borne(1)
        if leader := self.d.leader():
            await self.restart(leader)

    async def lead_elsewhere(self):
        """Leaders are restarted until one leads that is not among the first three of the list."""
        d = self.d
        for _ in range(5):
            leader = d.leader()
            if leader and leader not in d.controls[:3]:
                d.note(f"{leader.name} leads, {d.controls.index(leader) + 1}th of the list")
                return
            if leader:
                await d.borne(1)
                await self.restart(leader)
            await asyncio.sleep(1.5)

    async def lose_disk(self):
        await self.d.borne(1)
        await self.restart(self.pick()[0], lose_disk=True)

    async def change_settings(self):
        d, rng = self.d, self.rng
        # Not while a process starts: until it has set its handlers, SIGHUP ends it.
        while any(now() - it.started < SETTLED for it in d.controls):
            await asyncio.sleep(0.1)
        hosts = rng.sample(d.controls + d.entries, rng.randint(1, len(d.controls)))
        d.note(f"SIGHUP {[it.name for it in hosts]}")
        for it in hosts:
            if d.is_running(it):
                d.settings(it)
                it.process.send_signal(signal.SIGHUP)

    async def kill_all(self):
        d, rng = self.d, self.rng
        hosts = d.controls + (d.entries if rng.random() < 0.3 else [])
        d.note(f"kills all {len(hosts)}")
        for it in d.controls:
            d.lost[it] = float("inf")
        since = await self.kill_and_start(hosts, rng.uniform(0.2, 0.7), [])
        for it in d.controls:
            d.lost[it] = now() + self.pages.catch_up + MARGIN
        await self.wait_read("herd", since)

    async def kill_and_start(self, hosts, pause, without_disk):
        d, rng = self.d, self.rng
        await asyncio.gather(*(d.finish(it, signal.SIGKILL) for it in hosts))
        for it in without_disk:
            shutil.rmtree(f"{d.work}/{it.name}/state")
        await asyncio.sleep(pause)

        async def back(host, wait):
            await asyncio.sleep(wait)
            await d.launch(host)
        await asyncio.gather(*(back(it, rng.uniform(0, 0.3)) for it in hosts))
        return now()

    async def trouble(self):
        rng = self.rng
        kinds = [self.replace_one] * 5 + [self.restart_leader] * 2 + [self.lose_disk] * 2 + [self.kill_all]
        if not self.small:
            kinds += [self.replace_two] * 2 + [self.replace_beside_leader] * 2
        if self.freezes:
            kinds += [self.freeze_leader] * 2 + ([] if self.small else [self.replace_beside_frozen_leader] * 3)
        plan = [rng.choice(kinds) for _ in range(self.rounds or rng.randint(5, 7))]
        if self.plan:
            kinds = [getattr(self, it) for it in self.plan.split(",")]
            plan = [kinds[n % len(kinds)] for n in range(self.rounds or 8)]
        if not self.plan and rng.random() < 0.6:
            plan.insert(rng.randrange(2), self.lead_elsewhere)
        if not self.plan and rng.random() < 0.5:
            plan.insert(rng.randrange(len(plan)), self.change_settings)
        self.d.note("plan: " + ", ".join(it.__name__ for it in plan))
        for it in plan:
            self.d.note("round: " + it.__name__)
            await it()
            await asyncio.sleep(0 if self.plan else rng.choice((0, 0.5, 2)))

    async def last_loss(self):
        d, rng = self.d, self.rng
        await d.borne(d.losses)
        lost = rng.sample(d.controls, d.losses)
        leader = d.leader()
        if rng.random() < 0.3 and leader and leader not in lost:
            lost[0] = leader
        hosts = d.controls + (d.entries if rng.random() < 0.5 else [])
        pause = rng.choice((0.3, 1.0, 2.0))
        if rng.random() < 0.7:
            self.acknowledged.clear()
            try:
                await asyncio.wait_for(self.acknowledged.wait(), 2 * self.pages.recovery)
            except asyncio.TimeoutError:
                d.note("no acknowledgement before the last loss")
        self.final = True
        self.operator.cancel()
        d.note(f"last loss: {[it.name for it in lost]} lose their disks, {len(hosts)} hosts are killed; "
               f"newest {self.newest()}")
        since = await self.kill_and_start(hosts, pause, lost)
        (read, after), (served, late) = await asyncio.gather(self.wait_read("final", since), self.wait_served(since))
        limit = max(self.pages.ack, since + self.pages.recovery - now())
        taken = await self.order(max(self.version, self.newest()) + 1, limit)
        if taken != 200:
            self.break_rule("final", f"no new configuration is taken {now() - since:.1f} s after the last loss")
        return (f"lost {[it.name for it in lost]}, read by {read} of {len(d.controls)} (last {after:.1f} s), "
                f"served by {served} of {len(d.entries)} (last {late:.1f} s), "
                f"a new one {'taken' if taken == 200 else 'not taken'}")

    async def watch_ends(self):
        """A process that ends by itself is started again, as the platform does."""
        d = self.d
        while not self.stop.is_set():
            for it in d.controls + d.entries:
                if it.process and it.process.returncode is not None and it not in d.expected:
                    d.expected.add(it)
                    self.break_rule("ended", f"{it.name} ended by itself: {it.process.returncode}")
                    await d.launch(it)
            await asyncio.sleep(0.5)

    def stalls(self):
        """What says that the machine was too busy for the run: pauses of at least 100 ms of a host, and orders that
        waited while a host's disk did."""
        lines, hosts, longest, syncs = 0, 0, 0, 0
        for name in os.listdir(self.d.work):
            if name.endswith(".log"):
                with open(os.path.join(self.d.work, name), encoding="utf-8", errors="replace") as file:
                    text = file.read().splitlines()
                found = [int(it.split(" ms=")[1].split()[0]) for it in text if "event=host-stalled" in it]
                found = [it for it in found if it >= 100]
                lines, hosts, longest = lines + len(found), hosts + bool(found), max([longest, *found])
                syncs += sum("event=orders-wait" in it and "storing=1" in it for it in text)
        return f"stalls {lines} on {hosts} hosts, longest {longest} ms, {syncs} orders waited for a disk"

    async def main(self):
        d = self.d
        if not os.path.exists(PROGRAM):
            d.fail("target/cuminfield is missing: build it as the deploy file says")
        begun = now()
        await asyncio.gather(*(d.launch(it) for it in d.controls + d.entries))
        if await self.order(1, 20) != 200:
            d.fail("the first configuration was not acknowledged")
        d.first_start = False
        for n in range(2):
            await Runner(d, n, "kassa", d.entries[n].zone, slots=40, work=0.002).start()
        await asyncio.sleep(self.pages.catch_up)
        pause = max(0.3, len(d.entries) / 50)
        self.operator = asyncio.create_task(self.operate())
        tasks = [asyncio.create_task(it) for it in (self.read(), self.watch_order(), self.watch_ends())]
        tasks += [asyncio.create_task(self.probe(it, pause)) for it in d.entries]
        await asyncio.sleep(2)
        await self.trouble()
        text = await self.last_loss()
        self.stop.set()
        await asyncio.wait(tasks, timeout=12)
        counts = {rule: sum(it == rule for it, _ in self.broken) for rule, _ in self.broken}
        lines = [f"seed {self.seed}: {len(d.controls)} control and {len(d.entries)} entry hosts, "
                 f"{now() - begun:.0f} s, gone hosts {'silent' if d.silent else 'refuse'}, "
                 f"{len(self.acked)} of {self.version} configurations acknowledged, the slowest after "
                 f"{self.slowest:.1f} s; {len(self.joins)} joined, the slowest after "
                 f"{max(self.joins, default=0):.1f} s; answers {dict(sorted(self.answers.items()))}; {text}; "
                 f"{self.stalls()}; broken {counts or 'nothing'}"]
        lines += [f"  {rule}: {text}" for rule, text in self.broken[:8]]
        for it in lines:
            d.log(it)
            print(it)
        if self.broken and os.environ.get("LOGS"):
            folder = os.path.join(os.environ["LOGS"], str(self.seed))
            d.record.flush()
            shutil.copytree(d.work, folder, dirs_exist_ok=True)
            shutil.copy(os.path.join(d.folder, "record.txt"), folder)
        if os.environ.get("KEEP"):
            print(f"record: {d.folder}")
        else:
            shutil.rmtree(d.folder, ignore_errors=True)
        d.end(BROKEN if self.broken else HELD)


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("seed", type=int)
    parser.add_argument("--small", action="store_true", help="three control hosts, one loss borne")
    parser.add_argument("--entries", type=int, default=0, help="entry hosts")
    parser.add_argument("--rounds", type=int, default=0, help="disruptions before the last loss")
    parser.add_argument("--freeze", action="store_true", help="leaders are also frozen")
    parser.add_argument("--plan", help="disruptions, repeated in turn")
    parser.add_argument("--by-start", action="store_true", help="a removed host counts from its successor's start")
    await Case(parser.parse_args()).main()


run(main)
