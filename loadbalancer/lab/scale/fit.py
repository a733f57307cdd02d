"""How a figure grows with size: least squares over a few forms, and what follows at the size aimed at.

Forms, simplest first: constant, a + b N, a + b N log N, a + b N^2. Each is fitted on all points but those of
the largest size, and predicts that; the form with the least error there is taken, a simpler one where it
errs by no more than `MARGIN` further. Then it is fitted on all points. Forms that fall with N (b < 0) are not
taken: over ten times the sizes measured they would be below nought. Points weigh by the inverse of their
size's mean, since what disturbs a processor time or a count of bytes disturbs it in proportion. Void points
are left out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

import numpy as np

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.scale.interface import Slopes

LEAST_SIZES = 4
MARGIN = 0.03  # of the largest size's figure
FAR = 10_000_000  # sizes beyond this are none
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "a + b N": lambda n: n,
    "a + b N log N": lambda n: n * math.log(n),
    "a + b N^2": lambda n: n * n,
}


class FigureUnknown(LoadBalancerError):
    """A figure that is asked for and that no point of the slopes has."""

    remedy: ClassVar[str] = (
        "ask for one of the figures that the line names, or record the file anew"
    )


class SlopesOneSize(LoadBalancerError):
    """Slopes of one size alone, through which any line would go."""

    remedy: ClassVar[str] = (
        "record three sizes more at least with --sizes, the largest well above the others"
    )


class SlopesTooFew(LoadBalancerError):
    """Slopes of fewer sizes than a fit needs, void points left out."""

    remedy: ClassVar[str] = (
        "record further sizes with --sizes; play void points again while the machine is less busy"
    )


@dataclass(frozen=True)
class Fit:
    """One figure over size."""

    figure: str
    unit: str
    form: str
    a: float
    b: float
    error: float  # root of the mean square of what points are off, as a part of their size's mean
    predicted: float  # the largest size's figure, from the smaller sizes alone
    measured: float  # the same as measured: the mean over its seeds
    sizes: tuple[int, ...]
    points: int
    void: int

    @property
    def prediction_error(self) -> float:
        """By how much the largest size was missed, as a part of what was measured."""
        return off(self.predicted, self.measured)

    def at(self, size: float) -> float:
        return self.a + self.b * FORMS[self.form](size)

    def used_up(self, budget: float) -> float:
        """The size at which a budget is used up; 0 if it always is, infinite if it never is."""
        if self.at(1) >= budget:
            return 0
        if self.at(FAR) < budget:
            return math.inf
        low, high = 1.0, float(FAR)
        while high - low > 0.5:
            middle = (low + high) / 2
            low, high = (middle, high) if self.at(middle) < budget else (low, middle)
        return math.floor(high)

    def text(self) -> str:
        """The formula."""
        if self.form == "constant":
            return f"{self.a:.3g}"
        term = self.form.removeprefix("a + b ")
        return f"{self.a:.3g} + {self.b:.3g} {term}"


def off(predicted: float, measured: float) -> float:
    if measured:
        return abs(predicted - measured) / abs(measured)
    return 0.0 if math.isclose(predicted, 0, abs_tol=1e-12) else math.inf


def least_squares(
    form: str, sizes: list[int], values: list[float]
) -> tuple[float, float]:
    """A and b. Points weigh by the inverse of their size's mean."""
    means = {
        s: abs(
            float(np.mean([v for z, v in zip(sizes, values, strict=True) if z == s]))
        )
        for s in sizes
    }
    weights = np.array([1 / means[s] if means[s] else 1.0 for s in sizes])
    columns = [np.ones(len(sizes))]
    if form != "constant":
        columns.append(np.array([FORMS[form](s) for s in sizes]))
    matrix = np.stack(columns, axis=1) * weights[:, None]
    scale = np.abs(matrix).max(axis=0)  # N^2 beside 1 would cost digits
    found = (
        np.linalg.lstsq(matrix / scale, np.array(values) * weights, rcond=None)[0]
        / scale
    )
    return float(found[0]), float(found[1]) if form != "constant" else 0.0


def fit(slopes: Slopes, figure: str, least: bool = False) -> Fit:
    """The figure's growth. With `least`, of the least of each size's seeds alone: what other work on the
    machine adds to a processor time is no growth. A `FigureUnknown`, `SlopesOneSize` or `SlopesTooFew` where
    there is none.
    """
    good = [p for p in slopes.points if not p.void]
    points = [(p.size, p.figures[figure]) for p in good if figure in p.figures]
    if not any(figure in p.figures for p in slopes.points):
        known = sorted({f for p in slopes.points for f in p.figures})
        raise FigureUnknown(
            f"no figure {figure!r}; there are {', '.join(known) or 'none'}", slopes.name
        )
    if least:
        points = [
            (s, min(v for z, v in points if z == s))
            for s in sorted({s for s, _ in points})
        ]
    sizes, values = [s for s, _ in points], [v for _, v in points]
    different = sorted(set(sizes))
    void = len(slopes.points) - len(good)
    words = f"{figure} is known at {len(different)} of the {LEAST_SIZES} sizes that a fit needs, {void} void"
    if len(different) == 1:
        raise SlopesOneSize(
            f"{figure} is known at size {different[0]} alone, {void} void", slopes.name
        )
    if len(different) < LEAST_SIZES:
        raise SlopesTooFew(words, slopes.name)
    largest = different[-1]
    measured = float(np.mean([v for s, v in points if s == largest]))
    smaller = [(s, v) for s, v in points if s != largest]
    errors: dict[str, float] = {}
    told: dict[str, float] = {}
    for form, shape in FORMS.items():
        a, b = least_squares(form, [s for s, _ in smaller], [v for _, v in smaller])
        whole = least_squares(form, sizes, values)
        if form == "constant" or (b >= 0 and whole[1] >= 0):
            told[form] = a + b * shape(largest)
            errors[form] = off(told[form], measured)
    best = min(errors.values())
    form = next(f for f, e in errors.items() if e <= best + MARGIN)
    a, b = least_squares(form, sizes, values)
    means = {s: float(np.mean([v for z, v in points if z == s])) for s in different}
    parts = [(v - (a + b * FORMS[form](s))) / (means[s] or 1.0) for s, v in points]
    error = math.sqrt(sum(p * p for p in parts) / len(parts))
    unit = slopes.units.get(figure, "")
    return Fit(
        figure,
        unit,
        form,
        a,
        b,
        error,
        told[form],
        measured,
        tuple(different),
        len(points),
        void,
    )
