"""Least-squares lines through figures measured at several sizes."""

from collections.abc import Sequence


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the least-squares slope of `values` over `sizes`.

    Examples
    --------
    >>> round(slope([1, 2, 4], [10, 12, 16]), 9)
    2.0

    """
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    covariance = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return covariance / sum((size - mean_size) ** 2 for size in sizes)


def fitted_value(sizes: Sequence[float], values: Sequence[float], size: float) -> float:
    """Return the value of the fitted line at `size`.

    Examples
    --------
    >>> round(fitted_value([1, 2, 4], [10, 12, 16], 8), 9)
    24.0

    """
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    return mean_value + slope(sizes, values) * (size - mean_size)
