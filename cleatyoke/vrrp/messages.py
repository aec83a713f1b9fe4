"""VRRP version 3 advertisements (RFC 5798, section 5.2) as typed values, with their encoding."""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass

VERSION_AND_TYPE = 0x31  # version 3, type 1 (ADVERTISEMENT), in one byte
HEADER_BYTES = 8
MIN_MESSAGE_BYTES = 12  # the header and one IPv4 address
ADDRESS_SIZES = (4, 16)  # bytes of an IPv4 and of an IPv6 address
MAX_INTERVAL_BITS = 0xFFF  # the interval has 12 bits; the upper four of the field are reserved


class AdvertisementError(ValueError):
    """A datagram that is not a valid advertisement for this router."""


@dataclass(slots=True, frozen=True)
class Advertisement:
    """A master's advertisement to its backups."""

    router: int  # the VRID, 1 to 255
    priority: int  # 1 to 255; 0: the master is stopping
    interval: float  # seconds between the master's advertisements
    addresses: tuple[str, ...]  # the virtual router's IP addresses


def encode_advertisement(advertisement: Advertisement) -> bytes:
    """Encode an advertisement, with its checksum."""
    addresses = b"".join(ipaddress.ip_address(one).packed for one in advertisement.addresses)
    centiseconds = round(advertisement.interval * 100) & MAX_INTERVAL_BITS
    header = struct.pack(
        ">BBBBHH",
        VERSION_AND_TYPE,
        advertisement.router,
        advertisement.priority,
        len(advertisement.addresses),
        centiseconds,
        0,  # checksum, filled in below
    )
    without_checksum = header + addresses
    return without_checksum[:6] + struct.pack(">H", _checksum(without_checksum)) + without_checksum[8:]


def decode_advertisement(message: bytes) -> Advertisement:
    """Decode a datagram; raises ``AdvertisementError``."""
    if len(message) < MIN_MESSAGE_BYTES or len(message) % 4:
        msg = f"{len(message)} bytes"
        raise AdvertisementError(msg)
    version_and_type, router, priority, count, interval = struct.unpack(">BBBBH", message[:6])
    if version_and_type != VERSION_AND_TYPE:
        msg = f"version and type {version_and_type:#x}"
        raise AdvertisementError(msg)
    if _checksum(message):
        msg = "checksum"
        raise AdvertisementError(msg)
    size, remainder = divmod(len(message) - HEADER_BYTES, count) if count else (0, 1)
    if remainder or size not in ADDRESS_SIZES:
        msg = f"{count} addresses"
        raise AdvertisementError(msg)
    packed = [message[start : start + size] for start in range(HEADER_BYTES, len(message), size)]
    addresses = tuple(str(ipaddress.ip_address(one)) for one in packed)
    return Advertisement(router, priority, (interval & MAX_INTERVAL_BITS) / 100, addresses)


def _checksum(message: bytes) -> int:
    """Return the Internet checksum (RFC 1071); 0 over a message that contains its correct checksum."""
    total: int = sum(struct.unpack(f">{len(message) // 2}H", message))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF
