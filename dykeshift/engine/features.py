"""The feature file (`deploy/lifttrail.toml`): a section for each feature, which is off if that is absent.

Features that are off cost nothing: a file that is missing or contains only comments is not parsed.
"""

from __future__ import annotations

from typing import Any, TypeVar

from dykeshift.engine.config import ConfigError

T = TypeVar("T")


def read(path: str, required: bool) -> dict[str, Any]:
    """The file's sections, unchecked; a missing file is an error only if `required`. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError:
        if not required:
            return {}
        raise ConfigError(f"cannot read the feature file {path!r}: there is none") from None
    except OSError as exc:
        raise ConfigError(f"cannot read the feature file {path!r}: {exc.strerror}") from None
    if all(not line.strip() or line.lstrip().startswith(b"#") for line in data.splitlines()):
        return {}
    import tomllib

    try:
        return tomllib.loads(data.decode())
    except ValueError as exc:
        raise ConfigError(f"bad feature file {path!r}: {exc}") from None


def convert(path: str, name: str, section: Any, to: type[T]) -> T:
    """Convert a section to a type; ConfigError names what is unknown, missing or of the wrong type."""
    try:
        import msgspec
    except ImportError:
        raise ConfigError(
            f"feature file {path!r}: [{name}] needs the extra: pip install 'dykeshift[{name}]'"
        ) from None
    try:
        return msgspec.convert(section, to)
    except msgspec.ValidationError as exc:
        raise ConfigError(f"feature file {path!r}: [{name}]: {exc}") from None
