"""Combines the shared settings text with the local settings of this balancer."""

from __future__ import annotations

import json
from functools import lru_cache
from typing import Any

from dykeshift.interface import Settings
from dykeshift.settings import SettingsError, parse_settings

LOCAL_KEYS = ("az", "me", "discovery", "stepNs")  # keys of the settings that each balancer sets for itself


class LocalSettings:
    """The local settings of this balancer, and the complete settings of its configuration file.

    The settings of the file apply until a version is in force for the first time."""

    def __init__(self, raw: dict[str, Any]) -> None:
        """Takes the parsed configuration file, with the protocol's keys; raises SettingsError if invalid."""
        self.local = {name: raw[name] for name in LOCAL_KEYS if name in raw}
        self.shared = shared_part(raw)
        self.settings = parse_settings(raw)
        self._read = lru_cache(maxsize=16)(self._parse)

    def read(self, text: str) -> Settings:
        """Parses shared settings and adds the local ones; raises SettingsError with a one-line message.

        An empty text gives the settings of this balancer's file."""
        return self._read(text) if text else self.settings

    def clear_cache(self) -> None:
        """Drops parsed settings, after the local settings have changed."""
        self._read.cache_clear()

    def _parse(self, text: str) -> Settings:
        try:
            raw = json.loads(text)
        except (ValueError, RecursionError) as exc:
            raise SettingsError(f"settings are not JSON: {exc}") from None
        if not isinstance(raw, dict):
            raise SettingsError("settings are not a JSON object")
        settings = parse_settings({**raw, **self.local})
        names = [c.name for c in settings.classes]
        if not names:
            raise SettingsError("settings have no class")
        if len(set(names)) < len(names):
            raise SettingsError("two classes have the same name")
        return settings


def shared_part(raw: dict[str, Any]) -> str:
    """Returns the shared part in canonical form: equal texts mean equal settings."""
    return json.dumps(
        {name: value for name, value in raw.items() if name not in LOCAL_KEYS},
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
    )
