"""Shared by all binary messages between fronts: constrained field types and a checksum. No I/O.

Used by membership, configuration distribution and the records on disk. Imported only if one of these is
enabled, as it needs msgspec.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

CHECKSUM_BYTES = 4  # at the end of a message

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class WireError(ValueError):
    """A rejected message; its text is one of a few fixed reasons, by which rejections are counted."""


def append_checksum(data: bytes) -> bytes:
    """Return the message with its CRC-32 appended."""
    return data + zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")


def verify_checksum(data: bytes, max_bytes: int) -> bytes:
    """Verify and strip the checksum.

    Detects bit errors in transit: UDP's own checksum is weak, and one flipped bit could announce that a
    member left, which is irrevocable. Raises ``WireError`` ("too long", "corrupt").
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
