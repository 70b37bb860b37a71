"""Two of three control hosts are replaced, as planned work: the new ones first, then SIGTERM.

Two successors start with empty disks and have far longer than catch_up_s. Then the two old hosts get
SIGTERM, one after the other, and are gone for good. No machine is ever lost in between. The operator
then reads back the configuration that was acknowledged, at all control hosts that are left.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import *

OLD, NEW, KEPT = ("control0", "control1"), ("control3", "control4"), "control2"
CAUGHT_UP_S = 10.0   # From the start of the successors; catch_up_s is 4.
GAP_S = 1.3          # Between the two SIGTERMs, as in the site file's roll_term.
GRACE_S = 8.0
RECOVERY_S = 12.0


async def read_back(deployment, names, version, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in names:
            answer = await deployment.call(deployment.address(name), "GET", "/v1/configuration")
            read = json.loads(answer.body)["version"] if answer.status == 200 else None
            deployment.log(f"read at {name}: status {answer.status} version {read} {answer.error}")
            if read is not None and read >= version:
                return True
        await asyncio.sleep(0.5)
    return False


async def stop(deployment, name):
    deployment.send(name, signal.SIGTERM)
    try:
        await asyncio.wait_for(deployment.processes[name].wait(), GRACE_S)
    except asyncio.TimeoutError:
        deployment.send(name, signal.SIGKILL)


async def play(deployment):
    routes = [route("safe", "safe"), route("unsafe", "unsafe")]
    await deployment.begin(configuration(1, routes), [Runner(n) for n in range(3)])
    await asyncio.sleep(3)
    if TROUBLE:
        for name in NEW:
            await deployment.launch(name)
    await asyncio.sleep(CAUGHT_UP_S / 2)
    # The platform writes the new seeds into all settings files.
    if TROUBLE:
        deployment.seeds = [KEPT, *NEW]
        for name in (*deployment.names(), *NEW):
            deployment.settings(name)
    await asyncio.sleep(CAUGHT_UP_S / 2)
    await deployment.put_configuration(configuration(2, routes + [route("more", "safe")]))
    left = (KEPT, *NEW) if TROUBLE else (KEPT, *OLD)
    if not await read_back(deployment, left, 2, 5):
        raise CannotRun("version 2 cannot be read before the replacement")
    if TROUBLE:
        stops = []
        for name in OLD:
            stops.append(deployment.spawn(stop(deployment, name)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)
    held = await read_back(deployment, left, 2, RECOVERY_S + 8)
    for name in left:
        lines = [it for it in deployment.host_log(name).splitlines() if "leader" in it]
        deployment.log(f"{name}: {lines[-1][:240] if lines else 'no leader'}")
    return not held


run_case(play, controls=3, entries=1)
