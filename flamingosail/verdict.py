"""The verdict: whether the backend server executed a request.

Every answer and every refusal of a request carries a verdict. ``NOT_RUN`` is
given only if it is proven; otherwise the verdict is ``MAY_HAVE_RUN``.
"""

from enum import IntEnum

__all__ = ["Verdict"]


class Verdict(IntEnum):
    """Whether a request may have run, ordered by certainty of execution."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """Text form in HTTP headers and logs, for example ``not-run``."""
        return _LABELS[self]

    @classmethod
    def from_label(cls, label: str) -> "Verdict":
        """Return the verdict with the given text form.

        :raises ValueError: if the label is not one of the three.
        """
        for verdict, text in _LABELS.items():
            if text == label:
                return verdict
        raise ValueError(f"{label!r} is not a verdict")


_LABELS = {
    Verdict.NOT_RUN: "not-run",
    Verdict.MAY_HAVE_RUN: "may-have-run",
    Verdict.RAN: "ran",
}
