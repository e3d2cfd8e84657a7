"""All processes are killed just after a server's leaving was acknowledged."""

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from cluster2 import Client  # noqa: E402
from cluster2 import configuration  # noqa: E402
from cluster2 import route  # noqa: E402
from cluster2 import run_case  # noqa: E402

DRAIN_SECONDS = 2.0
STABILITY_SECONDS = 3.0
KILLED_AFTER_SECONDS = 0.1
DOWN_SECONDS = 0.7
LATE_SECONDS = 4.0
SERVES_ON_SECONDS = 9.0


async def play(case) -> str:
    """Kill the nodes after a deregistration; two heartbeats come late."""
    vms = [case.vm(1, "kolkata-n"), case.vm(2, "kolkata-n")]
    await case.start_store()
    for vm in vms:
        case.start_node(vm, "retire-svc", first=True)
    await case.publish(
        configuration(7, ["retire-svc"], route("stock", "retire-svc"))
    )
    await case.until_ready(vms)
    leaving = await case.start_server(vms[0], "retire-svc")
    await case.start_server(vms[1], "retire-svc")
    numbers = iter(range(1_000_000))

    sent_at: dict[str, float] = {}

    async def ask(vm: str) -> int:
        name = f"{next(numbers):06x}"
        sent_at[name] = case.now()
        head = (
            f"Flamingosail-Request-Id: {name}\r\n"
            "Flamingosail-Deadline-Ms: 2000\r\n"
        )
        status = 0
        with suppress(OSError, asyncio.IncompleteReadError):
            status, _, _ = await Client(vm).send("GET", "/stock/7", head)
        case.note(f"GET {name} at {vm} answered {status}")
        return status

    async def send_always(vm: str):
        while True:
            await ask(vm)
            await asyncio.sleep(0.05)

    async def is_served() -> bool:
        return [await ask(vm) for vm in vms] == [200, 200]

    await case.until(is_served)
    await asyncio.sleep(2.0)
    clients = [asyncio.create_task(send_always(vm)) for vm in vms]
    await asyncio.sleep(1.0)

    # The last two heartbeats before the server leaves are held up.
    leaving.beats.cancel()
    held_up = []
    for pause in (1.5, 0.05):
        held_up.append((case.now(), leaving.heartbeat()))
        case.note(f"{leaving.id} sends heartbeat {leaving.sequence}, held up")
        await asyncio.sleep(pause)
    acknowledged = await leaving.deregister()
    left_at = case.now()
    case.note(f"{leaving.id} leaves, acknowledged with {acknowledged}")
    started_at = left_at
    if case.trouble:
        await asyncio.sleep(KILLED_AFTER_SECONDS)
        for vm in vms:
            case.signal_node(vm, signal.SIGKILL)
        for vm in vms:
            case.wait_node(vm)
        await asyncio.sleep(DOWN_SECONDS)
        for vm in vms:
            case.start_node(vm, "retire-svc", first=False)
        started_at = case.now()
    for beat_at, body in held_up:
        await asyncio.sleep(beat_at + LATE_SECONDS - case.now())
        status = await leaving.report(body)
        case.note(f"a heartbeat arrives 4 s late, answered {status}")
    await asyncio.sleep(left_at + SERVES_ON_SECONDS - case.now())
    for task in clients:
        task.cancel()
    # Counted are requests that were sent when both machines were in touch.
    since = max(left_at + DRAIN_SECONDS, started_at + STABILITY_SECONDS)
    case.note(f"counted from {since:.3f} on")
    late = [name for _, name in leaving.runs if sent_at[name] > since]
    if acknowledged != 200 or not late:
        return ""
    return f"{len(late)} requests reached the server that had left"


run_case(FOLDER, play)
