"""Bounds that are fractions, or of parts that aren't in force: the programs have to start with them.

The settings are rendered from deploy/host.ini: once with the bounds of the sheets, then with one
bound at a time that is no whole number, then without the bounds of a part of the rules that
`contracts` doesn't name. Each time an entry host and a control host are started. Counted is Fault: a
program doesn't start.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import *

FRACTIONS = [("grace_s", 8.5), ("quota_window_s", 7.5), ("quota_overshoot", 0.125),
             ("quota_slack", 2500.5), ("retry_budget_ratio", 0.125)]
ABSENT = {"quota": ["quota_window_s", "quota_overshoot", "quota_slack"],
          "retry": ["retry_budget_ratio"]}
START_S = 3.0


async def answers(deployment, name):
    """True if the process runs and answers at the address that the platform knows it by."""
    control = name.startswith("control")
    address = (deployment.ip(name), deployment.base + (1 if control else 3))
    end = time.monotonic() + START_S
    while time.monotonic() < end and deployment.processes[name].returncode is None:
        answer = await deployment.call(
            address, "GET", "/v1/configuration" if control else "/v1/readiness", timeout=1.5)
        if answer.status in (200, 503):
            return True
        await asyncio.sleep(0.1)
    return False


async def play(deployment):
    failed = []
    tries = [(None, BOUNDS)]
    if TROUBLE:
        tries += [(key, {**BOUNDS, key: value}) for key, value in FRACTIONS]
        tries += [(f"no {part}", {k: v for k, v in BOUNDS.items() if k not in keys})
                  for part, keys in ABSENT.items()]
    for key, deployment.bounds in tries:
        deployment.log(f"bounds: {deployment.bounds}")
        for name in deployment.names():
            await deployment.launch(name)
        started = await asyncio.gather(*(answers(deployment, it) for it in deployment.names()))
        for name, ok in zip(deployment.names(), started):
            lines = deployment.host_log(name).strip().splitlines()
            deployment.log(f"{name}: {'starts' if ok else 'does not start: ' + lines[-1][-160:]}")
            if not ok:
                failed.append((key, name))
            deployment.send(name, signal.SIGKILL)
            await deployment.processes[name].wait()
            shutil.rmtree(f"{deployment.work}/{name}", ignore_errors=True)
            os.remove(f"{deployment.work}/{name}.log")
    if any(key is None for key, _ in failed):
        raise CannotRun("the programs don't start with the plain values")
    deployment.log(f"did not start: {failed}")
    return bool(failed)


run_case(play, controls=1, entries=1)
