"""The sizes of a request class's answers, and what they say of one that has not ended. No I/O, no clock."""

from __future__ import annotations

from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES

MIN_OCTAVE = 6  # answers below 128 bytes count alike
LONG_OCTAVE = MAX_UNSTREAMED_BYTES.bit_length() - 1  # of all longer answers, which count alike
# Before any answer was seen: one short answer in each octave and as many long ones as make an answer that has
# reached 16 KiB as likely long as short.
PRIOR_SHORT = 1
PRIOR_LONG = 2
MAX_COUNTED = 1024  # answers, beyond which earlier ones count half as much


class AnswerSizes:
    """Counts whole answers by the octave (power of two) of their size in bytes."""

    def __init__(self) -> None:
        self._counts = [0.0] * (LONG_OCTAVE + 1)
        self._counted = 0.0

    def record(self, size: int) -> None:
        """Count a whole answer, or one that is known to be longer than ``MAX_UNSTREAMED_BYTES``."""
        if self._counted >= MAX_COUNTED:
            self._counts = [count / 2 for count in self._counts]
            self._counted /= 2
        self._counts[_octave(size)] += 1
        self._counted += 1

    def is_probably_long(self, reached: int) -> bool:
        """Whether an answer that has reached ``reached`` bytes is rather long than short.

        Long: of more than ``MAX_UNSTREAMED_BYTES``. It is compared with the short answers of its octave and
        above, as the others were shorter.
        """
        octave = _octave(reached)
        short = sum(self._counts[octave:LONG_OCTAVE]) + PRIOR_SHORT * (LONG_OCTAVE - octave)
        return self._counts[LONG_OCTAVE] + PRIOR_LONG >= short


def _octave(size: int) -> int:
    """Return the number of the power of two at or below ``size``; all long sizes have the last."""
    if size > MAX_UNSTREAMED_BYTES:
        return LONG_OCTAVE
    return max(MIN_OCTAVE, min(size.bit_length() - 1, LONG_OCTAVE - 1))
