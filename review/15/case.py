"""Requests whose header arrives in pieces are rejected as too large."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet3  # noqa: E402 - needs the path

REQUESTS = 200
LARGE_EVERY = 10
HEADER_BYTES = 12_000
PIECE_BYTES = 1400  # what one packet on an Ethernet link carries
PIECE_SECONDS = 0.03
LINE_BYTES = 400
ALLOWED_DENIALS = 5
ALLOWED_SHARE = 1 / 500
OWN_STATUSES = frozenset({408, 421, 429})


async def work(request: fleet3.Request) -> tuple[int, bytes]:
    """Answer after a short time of work."""
    await asyncio.sleep(0.01)
    return 200, b"x" * 5000


def large_header() -> str:
    """Return header lines of HEADER_BYTES, as of cookies."""
    lines = []
    for number in range(HEADER_BYTES // LINE_BYTES):
        line = f"X-Session-{number}: "
        lines.append(line.ljust(LINE_BYTES - 2, "a") + "\r\n")
    return "".join(lines)


async def exchange(
    client: fleet3.Client, data: bytes, pieces: bool
) -> fleet3.Answer:
    """Send a request in packets that are some time apart, or at once.

    A client that gets its answer before it has sent all stops sending.
    """
    reading = asyncio.create_task(fleet3.read_answer(client.reader))
    size = PIECE_BYTES if pieces else len(data)
    for start in range(0, len(data), size):
        client.writer.write(data[start : start + size])
        if start + size < len(data):
            await asyncio.wait((reading,), timeout=PIECE_SECONDS)
            if reading.done():
                break
    return await reading


async def case(record: fleet3.Record, trouble: bool) -> bool:
    """Send requests; the header of some arrives in pieces."""
    fleet = fleet3.Fleet(record=record, services=["hist", "hist", "hist"])
    try:
        fleet.start_store()
        for vm in fleet.vms:
            fleet.start_node(vm)
            await fleet3.Server(
                vm=vm,
                ports=fleet.ports,
                slots=50,
                record=record,
                work=work,
            ).start()
        await fleet.publish(1, [fleet3.route("hist", "hist")])
        await fleet.until_ready()
        header = large_header()
        denied = served = 0
        for number in range(REQUESTS):
            vm = fleet.vms[number % len(fleet.vms)]
            large = number % LARGE_EVERY == 0
            client = await fleet3.Client.connect(vm, fleet.ports)
            data = client.encode(
                f"r-{number}",
                f"/hist/{number}",
                headers=header if large else "",
            )
            record.write("SENT", id=f"r-{number}", at=vm.name, bytes=len(data))
            answer = await exchange(client, data, large and trouble)
            record.write("ANSWER", id=f"r-{number}", status=answer.status)
            stamped = "flamingosail-server-stamp" in answer.headers
            denied += (
                300 <= answer.status < 500
                and answer.status not in OWN_STATUSES
                and not stamped
            )
            served += answer.status == 200 and stamped and answer.complete
            client.close()
        record.write(
            "COUNTED", requests=REQUESTS, served=served, denied=denied
        )
        return denied <= ALLOWED_DENIALS + ALLOWED_SHARE * REQUESTS
    finally:
        fleet.keep_logs()
        fleet.stop()


if __name__ == "__main__":
    fleet3.main(case, Path(__file__).resolve().parent)
