"""A target leaves, the node beside it is killed after its ack, and an older report arrives late.

DRAIN: "A request reaches a target later than `drain-period` after a machine in touch acknowledged
that the target is `draining` or gone, taken from the client and sent on by machines in touch."
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness as h  # noqa: E402

SERVES_ON_SECONDS = 12.0  # "It continues serving for drain-period after the ack ... (at times many seconds)"
REPORT_LATE_SECONDS = 2.5  # "A status report may arrive seconds late."


async def caller(world, node, results):
    client = h.Client(world, node)
    number = 0
    while True:
        number += 1
        results.append(await client.send("POST", f"/order/{node.number}-{number}", b"lunch", 5000))
        await asyncio.sleep(0.4)


async def body(world):
    record = world.record
    for _ in range(2):
        world.add("menu")
    node, leaving = world.add("dispatch", work=0.5)
    world.add("dispatch", work=0.5)
    await world.start({"order": {**h.route("dispatch", "unsafe"), "path-prefix": "/order/"}})
    results = []
    callers = [world.spawn(caller(world, entry, results)) for entry in world.nodes[:2] for _ in range(2)]
    await asyncio.sleep(2.0)

    # The last report before the target leaves is held up on its way.
    leaving.beats.cancel()
    late_report = leaving.report_body("ready")
    held_since = record.now()
    await asyncio.sleep(0.3)
    while leaving.running:  # it leaves in a moment without work
        await asyncio.sleep(0.01)
    if not await leaving.call("DELETE", b'{"born": %d}' % leaving.born, "gone"):
        raise h.CannotRun("the node didn't acknowledge that the target leaves")
    leaving.state = "draining"
    acked = record.now()
    await asyncio.sleep(0.3)
    if h.TROUBLE:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(held_since + REPORT_LATE_SECONDS - record.now())
    while not await leaving.call("PUT", late_report, "late report, ready"):
        await asyncio.sleep(0.1)
        if record.now() > held_since + 8:
            raise h.CannotRun("the late report did not reach the node")
    record.show(f"the late report arrived {record.now() - held_since:.1f} s after it was sent")
    await asyncio.sleep(acked + SERVES_ON_SECONDS - record.now())
    started = node.started_at[-1]
    for _ in range(100):
        if leaving.running:
            break  # it ends in the middle of what it should not have got any more
        await asyncio.sleep(0.01)
    leaving.stop()
    record.show(f"target {leaving.id} has ended")
    await asyncio.sleep(1.0)
    for task in callers:
        task.cancel()

    from_time = max(acked + h.DRAIN, started + h.CONTACT)
    reached = [run for run in leaving.arrivals if run[0] > from_time]
    lost = sum(answer.status in (0, 502, 504) for answer in results)
    record.show(
        f"acknowledged at {acked:.1f} s, node started last at {started:.1f} s: {len(reached)} requests"
        f" reached the target later than drain-period after the ack, all machines in touch"
    )
    record.show(f"{lost} of {len(results)} at-most-once orders ended with neither success nor promise")
    return not reached


h.run_case(FOLDER, body)
