"""Issued idempotency keys, which contain their owner, and keys derived from other keys."""

from dataclasses import dataclass, replace

from xxhash import xxh3_128_hexdigest

from apricotwalk.claims._owner import ClaimOwner
from apricotwalk.core import Clock, SettingsError, new_identifier, parse_count
from apricotwalk.settings import Address

__all__ = ["IssuedKey", "KeyIssuer", "derive_key"]

KEY_PREFIX = "apw1"
FIELD_SEPARATOR = "~"
FIELD_COUNT = 6
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """An idempotency key whose work is only ever started by the node that issued it.

    Parameters
    ----------
    owner : ClaimOwner
        The node that issued the key.
    issued_ms : int
        Reading of the issuer's monotonic clock, in milliseconds.
    nonce : str
        Random identifier, or in a derived key a digest.

    Examples
    --------
    >>> key = IssuedKey(ClaimOwner("a", "1f", "127.0.0.1:7000"), 12, "00ff")
    >>> str(key)
    'apw1~a~1f~127.0.0.1:7000~12~00ff'
    >>> IssuedKey.parse(str(key)) == key
    True
    """

    owner: ClaimOwner
    issued_ms: int
    nonce: str

    @classmethod
    def parse(cls, text: str) -> "IssuedKey | None":
        """Parse the text form of an issued key; return None if `text` is any other key."""
        fields = text.split(FIELD_SEPARATOR)
        if len(fields) != FIELD_COUNT or fields[0] != KEY_PREFIX:
            return None
        try:
            Address.parse(fields[3])
            issued_ms = parse_count(fields[4])
        except (SettingsError, ValueError):
            return None
        return cls(ClaimOwner(fields[1], fields[2], fields[3]), issued_ms, fields[5])

    def __str__(self) -> str:
        """Return the text form of the key, as callers send it."""
        owner = self.owner
        fields = (KEY_PREFIX, owner.instance, owner.incarnation, owner.address)
        return FIELD_SEPARATOR.join((*fields, str(self.issued_ms), self.nonce))


class KeyIssuer:
    """Issues idempotency keys and computes their age.

    Parameters
    ----------
    owner : ClaimOwner
        The node that issues the keys.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, owner: ClaimOwner, clock: Clock) -> None:
        self.owner = owner
        self._clock = clock

    def issue(self) -> IssuedKey:
        """Return a new key; nothing is stored until the key is used."""
        return IssuedKey(self.owner, self._now_ms(), new_identifier())

    def age_seconds(self, key: IssuedKey) -> float:
        """Return the age of a key of this issuer in seconds; negative for a forged key."""
        return (self._now_ms() - key.issued_ms) / MILLISECONDS_PER_SECOND

    def _now_ms(self) -> int:
        return int(self._clock.monotonic() * MILLISECONDS_PER_SECOND)


def derive_key(parent: str, *discriminators: str) -> str:
    """Derive the key of an inner call from the key of the call that causes it.

    Parameters
    ----------
    parent : str
        Key of the causing call; it is the same for all attempts of that call.
    *discriminators : str
        Texts that distinguish this inner call from others with the same parent.

    Returns
    -------
    str
        An issued key with the same owner if `parent` is an issued key, else a plain key.

    Notes
    -----
    Two equal inner calls with the same parent get the same key and are executed once.  A
    backend server that wants two executions has to send each call with a key of its own.
    """
    digest = xxh3_128_hexdigest("\0".join((parent, *discriminators)).encode())
    issued = IssuedKey.parse(parent)
    if issued is None:
        return f"derived-{digest}"
    return str(replace(issued, nonce=digest))
