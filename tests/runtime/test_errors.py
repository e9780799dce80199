"""The exceptions of all packages: each derives from ThymeflowError, and no two have the same name."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator

import thymeflow
from thymeflow.errors import ThymeflowError

PROGRAMS = ("thymeflow.__main__", "thymeflow.testkit.faults.fault_modes")  # Importing these modules runs them.


def iterate_exception_classes() -> Iterator[type[BaseException]]:
    """Yield each exception class that a module of thymeflow defines."""
    for info in pkgutil.walk_packages(thymeflow.__path__, "thymeflow."):
        if info.name in PROGRAMS:
            continue
        module = importlib.import_module(info.name)
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(value, BaseException) and value.__module__ == info.name:
                yield value


def test_every_exception_is_a_thymeflow_error_with_a_unique_name() -> None:
    classes = list(iterate_exception_classes())
    assert len(classes) > 20
    assert [cls for cls in classes if not issubclass(cls, ThymeflowError)] == []
    assert [cls for cls in classes if not cls.__name__.endswith("Error")] == []
    names = sorted(cls.__name__ for cls in classes)
    assert names == sorted(set(names))
