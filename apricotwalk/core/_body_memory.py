"""Memory for the large bodies that a node holds for callers and backend servers."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

__all__ = ["SMALL_BODY_BYTES", "BodyMemory", "CountedBody"]

# Bodies up to this size are not counted: all of the few hundred requests that a node has in
# progress together then hold less than the memory that is kept free for them.
SMALL_BODY_BYTES = 65_536
# Bodies of unknown length are counted in steps of this size.
GROWTH_BYTES = 262_144
# Bodies of unknown length may take this share of the memory together, because one that never ends
# looks like any other until then.
MAX_GROWING_SHARE = 0.375
# Parameter of mallopt(3) in the C library, and its value in bytes.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 131_072


@functools.cache
def _keep_large_blocks_separate() -> None:
    """Let the C library allocate each large block separately, whatever was freed before.

    Notes
    -----
    Otherwise it takes larger and larger blocks from a heap that is shared with small ones.  Bodies
    that grow there are copied each time and leave gaps, which doubled the memory of a node.
    """
    import ctypes  # most nodes never hold a large body, and the import lengthens each start

    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError) as error:
        logger.warning("cannot set the allocation of large blocks: {}", error)


class CountedBody(bytearray):
    """Body whose bytes are counted in a `BodyMemory` for as long as the body exists.

    Parameters
    ----------
    memory : BodyMemory
        Memory in which the bytes are counted.

    Notes
    -----
    A transport keeps a reference to the body until the kernel has taken all of it, so the bytes
    are counted until then.  Copies are not counted: code on the path of a large body passes the
    body itself or slices of a `memoryview`.
    """

    __slots__ = ("_memory", "counted_bytes")

    def __init__(self, memory: "BodyMemory") -> None:
        super().__init__()
        _keep_large_blocks_separate()
        self._memory = memory
        self.counted_bytes = 0

    def __del__(self) -> None:
        self._memory.free(self.counted_bytes)


@dataclass(slots=True)
class _Waiter:
    body: CountedBody
    count: int
    on_granted: Callable[[], None]
    loop: asyncio.AbstractEventLoop


class BodyMemory:
    """Bound on the bytes of large bodies, granted in the order of the requests for it.

    Parameters
    ----------
    max_bytes : int
        Largest total in bytes.

    Notes
    -----
    A body of known length is granted all of its bytes before it is read, so that two bodies which
    do not fit together are read one after the other.  A body of unknown length grows in steps; if
    it does not fit, the largest of these bodies is dropped, which is the one most likely never to
    end.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_growing_bytes = int(max_bytes * MAX_GROWING_SHARE)
        self.used_bytes = 0
        self._waiters: deque[_Waiter] = deque()
        self._drops_by_body: dict[int, tuple[CountedBody, Callable[[], None]]] = {}

    def try_acquire(self, body: CountedBody, count: int) -> bool:
        """Count `count` more bytes for a body unless they do not fit or other bodies wait."""
        if self._waiters or self.used_bytes + count > self.max_bytes:
            return False
        self._grant(body, count)
        return True

    def acquire_later(self, body: CountedBody, count: int, on_granted: Callable[[], None]) -> None:
        """Call `on_granted` in the event loop once `count` more bytes are counted for a body."""
        loop = asyncio.get_running_loop()
        self._waiters.append(_Waiter(body, count, on_granted, loop))

    def stop_waiting(self, body: CountedBody) -> None:
        """Withdraw the request of a body that is no longer needed; without effect if none waits."""
        remaining = [waiter for waiter in self._waiters if waiter.body is not body]
        if len(remaining) < len(self._waiters):
            self._waiters = deque(remaining)
            self._grant_waiters()

    def add_growing(self, body: CountedBody, drop: Callable[[], None]) -> None:
        """Register a body of unknown length; `drop` gives up on it and must release it."""
        self._drops_by_body[id(body)] = (body, drop)

    def remove_growing(self, body: CountedBody) -> None:
        """Remove a body that is complete or dropped; without effect if it is not registered."""
        self._drops_by_body.pop(id(body), None)

    def grow(self, body: CountedBody, length: int) -> bool:
        """Count a growing body of `length` bytes, and return whether it may go on.

        Notes
        -----
        The largest growing body is dropped as often as necessary, which may be this one.
        """
        while length > body.counted_bytes:
            growing_bytes = sum(each.counted_bytes for each, _ in self._drops_by_body.values())
            is_within_share = growing_bytes + GROWTH_BYTES <= self.max_growing_bytes
            if is_within_share and self.used_bytes + GROWTH_BYTES <= self.max_bytes:
                self._grant(body, GROWTH_BYTES)
                continue
            if not self._drops_by_body:
                return False
            largest, drop = max(
                self._drops_by_body.values(), key=lambda entry: entry[0].counted_bytes
            )
            self.remove_growing(largest)
            is_own = largest is body
            del largest
            drop()
            if is_own:
                return False
        return True

    def free(self, count: int) -> None:
        """Release bytes of a body that no longer exists."""
        self.used_bytes -= count
        if self._waiters:
            self._grant_waiters()

    def _grant(self, body: CountedBody, count: int) -> None:
        self.used_bytes += count
        body.counted_bytes += count

    def _grant_waiters(self) -> None:
        while self._waiters and self.used_bytes + self._waiters[0].count <= self.max_bytes:
            waiter = self._waiters.popleft()
            self._grant(waiter.body, waiter.count)
            # A body can be released anywhere, so the owner of the next one continues in the loop.
            waiter.loop.call_soon(waiter.on_granted)
