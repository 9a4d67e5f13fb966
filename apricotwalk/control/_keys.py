"""Shared secret keys with which nodes authenticate control messages."""

import hashlib
import hmac
from collections.abc import Sequence

from apricotwalk.settings import KeySettings

__all__ = ["DIGEST_BYTES", "NO_KEYS", "KeyRing"]

DIGEST_BYTES = 16


class KeyRing:
    """Computes and verifies message authentication codes.

    Parameters
    ----------
    keys : sequence of KeySettings
        Shared keys.  The first key signs; all keys verify.  Without keys the code is a plain
        checksum, which detects damage but no forgery.

    Notes
    -----
    Keys are rotated without downtime in three changes of the settings: append the new key to
    the list on all nodes, then move it to the front on all nodes, then remove the old key.

    References
    ----------
    .. [1] J.-P. Aumasson, S. Neves, Z. Wilcox-O'Hearn, C. Winnerlein, "BLAKE2: simpler,
       smaller, fast as MD5", ACNS 2013.

    Examples
    --------
    >>> ring = KeyRing([KeySettings("may", "0123456789abcdef")])
    >>> ring.verify("may", b"text", ring.sign(b"text"))
    True
    >>> ring.verify("june", b"text", ring.sign(b"text"))
    False
    """

    def __init__(self, keys: Sequence[KeySettings] = ()) -> None:
        self._secrets_by_id = {key.id: key.secret.encode() for key in keys} or {"": b""}
        self.signing_id = next(iter(self._secrets_by_id))

    @property
    def is_keyed(self) -> bool:
        """Whether at least one key is configured."""
        return bool(self._secrets_by_id[self.signing_id])

    def sign(self, payload: bytes) -> bytes:
        """Return the message authentication code of `payload` under the signing key."""
        return _digest(self._secrets_by_id[self.signing_id], payload)

    def verify(self, key_id: str, payload: bytes, digest: bytes) -> bool:
        """Return whether `digest` is the code of `payload` under the key `key_id`."""
        secret = self._secrets_by_id.get(key_id)
        if secret is None:
            return False
        return hmac.compare_digest(_digest(secret, payload), digest)


def _digest(secret: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES, key=secret).digest()


NO_KEYS = KeyRing()
