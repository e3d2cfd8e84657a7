"""A zone is killed while the store rejects the machines of that zone."""

import asyncio
import signal
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from cluster2 import Answer  # noqa: E402
from cluster2 import Client  # noqa: E402
from cluster2 import configuration  # noqa: E402
from cluster2 import encode_request  # noqa: E402
from cluster2 import read_request  # noqa: E402
from cluster2 import read_response  # noqa: E402
from cluster2 import route  # noqa: E402
from cluster2 import run_case  # noqa: E402
from cluster2 import STORE  # noqa: E402

SERVICE = "dealer-portal"
KEY = "k-4f1d2c77"
RATE, BURST = 60.0, 60.0
# ``quota_x``: a quota is 1.6 times what its tenant usually sends. Here its
# clients are on 4 machines. ``hot_tenant`` has x up to 6.9 for 6.8 s.
USUAL_PER_SECOND = RATE / 1.6 / 4
HOT_X, HOT_SECONDS = 6.4, 6.5
HOT_AFTER_SECONDS = 4.2
# The bounds of the site.
WINDOW_SECONDS, OVERAGE, SLACK = 5.0, 0.1, 20
BOUNDS = {
    "strictRevoke": "true",
    "revokeS": "5",
    "quotaWindowS": "5",
    "quotaOverage": "0.1",
    "quotaSlack": "20",
    "configApplyS": "2.5",
    "drainS": "2.5",
}
DOWN_SECONDS = 0.7
# ``platform_down`` in variant ``nodes busy``: 9 s, a share of 0.35; these are
# 4 of 12 machines.
BUSY_SECONDS = 9.0


class RejectingStore:
    """Passes the calls of some machines on to the store, or rejects them.

    While it is ``busy``, calls are answered 503, and nothing is done.
    """

    def __init__(self, case):
        self.case = case
        self.host = f"{case.net}.201"
        self.busy = False
        self.rejected = 0

    async def start(self):
        """Listen for the nodes."""
        await asyncio.start_server(self.serve, self.host, STORE)

    async def serve(self, reader, writer):
        """Pass on the calls of one connection."""
        with suppress(OSError, asyncio.IncompleteReadError):
            store = await asyncio.open_connection(self.case.store, STORE)
            try:
                while True:
                    answer = await self.answer(
                        await read_request(reader), *store
                    )
                    writer.write(answer.encode())
                    await writer.drain()
            finally:
                store[1].close()
        writer.close()

    async def answer(self, call, from_store, to_store) -> Answer:
        """Return the answer to one call."""
        if not self.busy:
            to_store.write(
                encode_request(call.method, call.target, "", call.body)
            )
            status, _, body = await read_response(from_store, call.method)
            if not self.busy:
                return Answer(status, body)
        self.rejected += 1
        return Answer(503, b"{}")


async def play(case) -> str:
    """Kill the nodes of a zone, and count what a tenant gets."""
    zone = [case.vm(number, "whk-a") for number in range(1, 5)]
    others = [
        case.vm(number, "whk-b" if number < 9 else "okahandja")
        for number in range(5, 13)
    ]
    vms = zone + others
    store = RejectingStore(case)
    await case.start_store()
    await store.start()

    def start(vm: str, *, first: bool):
        host = store.host if vm in zone else case.store
        case.start_node(
            vm, SERVICE, first=first, platform_address=f"{host}:{STORE}"
        )

    for vm in vms:
        start(vm, first=True)
    document = configuration(7, [SERVICE], route("orders", SERVICE))
    document["tenants"] = [
        {"name": "t-1", "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST}
    ]
    await case.publish(document)
    await case.until_ready(vms)
    servers = [await case.start_server(vm, SERVICE) for vm in vms]
    numbers = iter(range(1_000_000))
    statuses = Counter()

    async def ask(vm: str) -> int:
        head = (
            f"Flamingosail-Request-Id: {next(numbers):06x}\r\n"
            f"Flamingosail-Credential: {KEY}\r\n"
            "Flamingosail-Deadline-Ms: 2000\r\n"
        )
        status = 0
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(3.0):
                status, _, _ = await Client(vm).send("GET", "/orders/7", head)
        statuses[int(case.now()), status] += 1
        return status

    async def send_always(vm: str, rate: float):
        tasks = set()
        due = case.now()
        while True:
            task = asyncio.create_task(ask(vm))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1.0 / rate
            await asyncio.sleep(max(0.0, due - case.now()))

    async def is_served() -> bool:
        return [await ask(vm) for vm in vms] == [200] * len(vms)

    await case.until(is_served)
    await asyncio.sleep(4.0)
    clients = [
        asyncio.create_task(send_always(vm, USUAL_PER_SECOND)) for vm in zone
    ]
    await asyncio.sleep(7.0)
    killed_at = case.now()
    if case.trouble:
        store.busy = True
        case.note("the store rejects the machines of whk-a")
        for vm in zone:
            case.signal_node(vm, signal.SIGKILL)
        for vm in zone:
            case.wait_node(vm)
        await asyncio.sleep(DOWN_SECONDS)
        for vm in zone:
            start(vm, first=False)
    await asyncio.sleep(killed_at + HOT_AFTER_SECONDS - case.now())
    case.note("the tenant is hot")
    hot = [
        asyncio.create_task(send_always(vm, (HOT_X - 1) * USUAL_PER_SECOND))
        for vm in zone
    ]
    await asyncio.sleep(killed_at + BUSY_SECONDS - case.now())
    store.busy = False
    case.note(f"the store serves all machines; {store.rejected} rejected")
    await asyncio.sleep(
        killed_at + HOT_AFTER_SECONDS + HOT_SECONDS - case.now()
    )
    for task in hot:
        task.cancel()
    await asyncio.sleep(2.0)
    for task in clients:
        task.cancel()

    for (second, status), count in sorted(statuses.items()):
        case.note(f"second {second}: {count} answers {status}")
    runs = sorted(at for server in servers for at, _ in server.runs)
    allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK
    most, start = max(
        (sum(at <= run < at + WINDOW_SECONDS for run in runs), at)
        for at in runs
    )
    case.note(f"at most {most} runs in 5 s, from {start:.3f} on")
    case.note(f"allowed are {allowed:.0f}")
    return f"{most} runs, {allowed:.0f} allowed" if most > allowed else ""


run_case(FOLDER, play, bounds=BOUNDS)
