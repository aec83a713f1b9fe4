"""Parts that all binary messages among fronts share: checked field types and a checksum. No I/O.

Used by the membership, the distribution of configuration and the records on disk. Imported only where one of
these is on, as it needs msgspec.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

CHECKSUM_BYTES = 4  # at the end of a message

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class WireError(ValueError):
    """A message that is rejected; its text is the reason in a few fixed words, by which it is counted."""


def append_checksum(data: bytes) -> bytes:
    """Return the message with its CRC-32 at the end."""
    return data + zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")


def verify_checksum(data: bytes, max_bytes: int) -> bytes:
    """Return the message without its checksum.

    Guards against bits that flip on the way: UDP's own checksum is weak, and one flipped bit could say that a
    member left, which is final. Raises ``WireError`` ("too long", "corrupt").
    """
    if len(data) > max_bytes:
        msg = "too long"
        raise WireError(msg)
    if len(data) <= CHECKSUM_BYTES or zlib.crc32(data[:-CHECKSUM_BYTES]) != int.from_bytes(
        data[-CHECKSUM_BYTES:], "big"
    ):
        msg = "corrupt"
        raise WireError(msg)
    return data[:-CHECKSUM_BYTES]
