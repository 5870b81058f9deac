"""Between the settings as texts that all share and as this balancer acts on them: with what is its own."""

from __future__ import annotations

import json
from functools import lru_cache
from typing import Any

from dykeshift.interface import Settings
from dykeshift.settings import SettingsError, parse_settings

MINE = ("az", "me", "discovery", "stepNs")  # of the settings' words: what is each balancer's own


class Own:
    """This balancer's own part, and its own file's settings, which hold while no version was ever in
    force."""

    def __init__(self, raw: dict[str, Any]) -> None:
        """`raw`: the settings of its file, in the protocol's words; SettingsError where they are none."""
        self.mine = {name: raw[name] for name in MINE if name in raw}
        self.shared = share(raw)
        self.settings = parse_settings(raw)
        self._read = lru_cache(maxsize=16)(self._parse)

    def read(self, text: str) -> Settings:
        """As this balancer would act on it; SettingsError in a line. No text: as its own file has it."""
        return self._read(text) if text else self.settings

    def forget(self) -> None:
        """What was read, as its own part is another."""
        self._read.cache_clear()

    def _parse(self, text: str) -> Settings:
        try:
            raw = json.loads(text)
        except (ValueError, RecursionError) as exc:
            raise SettingsError(f"settings are no JSON: {exc}") from None
        if not isinstance(raw, dict):
            raise SettingsError("settings are no object")
        settings = parse_settings({**raw, **self.mine})
        names = [c.name for c in settings.classes]
        if not names:
            raise SettingsError("there is no class")
        if len(set(names)) < len(names):
            raise SettingsError("a class is named twice")
        return settings


def share(raw: dict[str, Any]) -> str:
    """The part that all share, in one form: equal texts are equal settings."""
    return json.dumps(
        {name: value for name, value in raw.items() if name not in MINE},
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
    )
