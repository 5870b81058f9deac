"""The designs that the scale run knows, each imported only when it is run."""

from __future__ import annotations

import importlib
from typing import cast

from dykeshift.scale.role import Design

DESIGNS = {
    "membership": "dykeshift.scale.membership:Membership",  # everybody knows everybody, voters among them
    "subscribers": "dykeshift.scale.subscribers:Subscribers",  # a control tier of nine machines
}


def design_of(name: str) -> Design:
    """KeyError where there is none of that name."""
    module, _, maker = DESIGNS[name].partition(":")
    return cast(Design, getattr(importlib.import_module(module), maker)())
