"""A node is stopped with SIGTERM while clients read an answer slowly and pipeline a further request.

LOST: around planned work (a SIGTERM of the machine that took the request) a process has read a whole
request and the connection ends without a complete answer, once it has been passed on to a target.
"""

import asyncio
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness as h  # noqa: E402

ANSWER_BYTES = 36_000  # the largest answers of the site's roster-view
CLIENT_COUNT = 6
READ_PAUSE = 0.4
READ_BYTES = 8192
WORK_SECONDS = 1.0
DEADLINE_MS = 5000


async def slow_client(world, node, number):
    """Send a request, and a second one before the first has been answered; read every 0.4 s."""
    record, loop = world.record, asyncio.get_running_loop()
    first, second = h.new_attempt(), h.new_attempt()
    got, head, content, ended = b"", b"", b"", "open"
    with socket.socket() as client:
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # it reads slowly
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)  # as on an Ethernet link
        await loop.sock_connect(client, (node.host, h.OUT_PORT))
        await loop.sock_sendall(client, h.encode_request("GET", "/menu/1", first, DEADLINE_MS))
        sent = record.now()
        record.say(f"client {number} sends {first} GET /menu/1")

        async def send_second():
            await asyncio.sleep(WORK_SECONDS + 0.12)  # before it has read any byte of an answer
            record.say(f"client {number} sends {second} GET /menu/2, has read {len(got)} bytes")
            await loop.sock_sendall(client, h.encode_request("GET", "/menu/2", second, DEADLINE_MS))
            return len(got)

        sender = world.spawn(send_second())
        try:
            while record.now() - sent < DEADLINE_MS / 1000:
                await asyncio.sleep(READ_PAUSE)
                try:
                    data = client.recv(READ_BYTES)
                except BlockingIOError:
                    continue
                got += data
                head, _, content = got.partition(b"\r\n\r\n")
                if not data or len(content) >= ANSWER_BYTES:
                    break
        except OSError as error:
            ended = repr(error)
        second_at = await asyncio.gather(sender, return_exceptions=True)
    is_whole = head.startswith(b"HTTP/1.1 200 ") and len(content) >= ANSWER_BYTES
    record.show(
        f"client {number}: {len(content)} of {ANSWER_BYTES} bytes of the first answer after"
        f" {record.now() - sent:.1f} s ({ended}); it had read {second_at[0]} bytes when it sent the second"
    )
    return first, is_whole


async def body(world):
    record = world.record
    for _ in range(3):
        world.add("menu", work=WORK_SECONDS, body=lambda path: b"m" * ANSWER_BYTES)
    await world.start({"menu": h.route("menu")})
    node = world.nodes[0]
    clients = [world.spawn(slow_client(world, node, n)) for n in range(CLIENT_COUNT)]
    await asyncio.sleep(0.4)
    if h.TROUBLE:
        world.spawn(node.terminate())
    results = await asyncio.gather(*clients)
    ran = {attempt for target in world.targets for _, _, attempt, _, _ in target.runs}
    lost = [attempt for attempt, is_whole in results if attempt in ran and not is_whole]
    record.show(f"{len(lost)} of {CLIENT_COUNT} requests that a target ran were not answered completely")
    return not lost


h.run_case(FOLDER, body)
