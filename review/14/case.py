"""Servers work on for clients that have left, if they send requests ahead."""

import asyncio
import sys
import time
from math import inf
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet3  # noqa: E402 - needs the path

CLIENTS = 50
AHEAD_EVERY = 2  # every second client sends requests ahead
LEAVING = range(10)  # a fifth of the clients, half of them send ahead
FOLLOWING_REQUESTS = 12
LAST_REQUESTS = 3
LONG_SECONDS = 2.0
SHORT_SECONDS = 0.02
ANSWER_BYTES = 30_000
LEAVE_AFTER_SECONDS = 0.6
NOTICE_SECONDS = 0.5
ALLOWED_SHARE = 1 / 4


async def work(request: fleet3.Request) -> tuple[int, bytes]:
    """Work as long as the path says."""
    long = request.path.startswith("/hist/long")
    await asyncio.sleep(LONG_SECONDS if long else SHORT_SECONDS)
    return 200, b"x" * ANSWER_BYTES


async def case(record: fleet3.Record, trouble: bool) -> bool:
    """Send requests, leave, and see which of them the servers go on with."""
    fleet = fleet3.Fleet(record=record, services=["hist", "hist", "hist"])
    servers = []
    try:
        fleet.start_store()
        for vm in fleet.vms:
            fleet.start_node(vm)
            server = fleet3.Server(
                vm=vm,
                ports=fleet.ports,
                slots=175,
                record=record,
                work=work,
            )
            servers.append(server)
            await server.start()
        await fleet.publish(1, [fleet3.route("hist", "hist")])
        await fleet.until_ready()
        left_at = {}

        async def visit(number: int):
            vm = fleet.vms[number % len(fleet.vms)]
            client = await fleet3.Client.connect(vm, fleet.ports)
            first = f"long-{number}"
            client.writer.write(client.encode(first, f"/hist/long/{number}"))
            record.write("SENT", id=first, at=vm.name)
            following = 0 if number % AHEAD_EVERY else FOLLOWING_REQUESTS
            for place in range(following):
                name = f"{first}-{place}"
                client.writer.write(client.encode(name, f"/hist/short/{name}"))
                record.write("SENT", id=name, at=vm.name)
            await asyncio.sleep(LEAVE_AFTER_SECONDS / 2)
            for place in range(LAST_REQUESTS if following else 0):
                name = f"{first}-last-{place}"
                client.writer.write(client.encode(name, f"/hist/short/{name}"))
                record.write("SENT", id=name, at=vm.name)
                following += 1
            await asyncio.sleep(LEAVE_AFTER_SECONDS / 2)
            if trouble and number in LEAVING:
                client.close()
                left_at[first] = time.monotonic()
                record.write("LEFT", id=first)
                return
            for _ in range(1 + following):
                answer = await fleet3.read_answer(client.reader)
                record.write("ANSWER", id=first, status=answer.status)
            client.close()

        await asyncio.gather(*map(visit, range(CLIENTS)))
        await asyncio.sleep(LONG_SECONDS + 1.0)
        stopped_at = {
            request_id: seconds
            for server in servers
            for seconds, request_id in server.stopped
        }
        late = sum(
            stopped_at.get(request_id, inf) > left + NOTICE_SECONDS
            for request_id, left in left_at.items()
        )
        reached = sum(
            seconds > left_at[first] + NOTICE_SECONDS
            for server in servers
            for seconds, request_id in server.runs
            if (first := "-".join(request_id.split("-")[:2])) in left_at
        )
        record.write(
            "COUNTED",
            left=len(left_at),
            still_at_work=late,
            reached_later=reached,
        )
        return late <= ALLOWED_SHARE * len(left_at)
    finally:
        fleet.keep_logs()
        fleet.stop()


if __name__ == "__main__":
    fleet3.main(case, Path(__file__).resolve().parent)
