"""Encoding and decoding of SFTP packets."""

from __future__ import annotations

import unittest

import pytest

from cleatyoke.sftp import codec
from cleatyoke.sftp import packets as p

NO_ATTRS = p.Attrs()


class PacketTests(unittest.TestCase):
    def test_every_field_survives_encoding_and_truncated_packets_are_rejected(self) -> None:
        attrs = p.Attrs(5, (1, 2), 0o644, (3, 4), [(b"a", b"b")])
        for packet in (
            p.Open(1, "/ä\udcff", 26, attrs),
            p.Names(2, [p.Name("a", "-rw a", attrs), p.Name("b", "b", NO_ATTRS)]),
            p.Write(3, b"h", 1 << 40, b"data"),
            p.Status(4, 8, "no", "en"),
        ):
            raw = codec.encode(packet)
            assert codec.decode(raw[4:]) == packet
            for length in range(5, len(raw) - 4):
                with pytest.raises(p.PacketError):
                    codec.decode(raw[4 : 4 + length])
