"""Parses settings and load reports in the deployment's format, for the simulator adapter and the balancer.

Every key that is read must be there: a default could allow more than the deployment does. `documented_keys`
also covers the keys that are not read, so that an incomplete file can be told from a complete one.
"""

from __future__ import annotations

import json
import math
from dataclasses import replace
from typing import Any

from dykeshift.interface import Idempotency, LoadReport, RequestClass, Scope, Settings


class MalformedError(Exception):
    """An invalid message; the exception's text is meant for operators."""


class SettingsError(MalformedError):
    """The settings lack a key or have an invalid value."""


_IDEMPOTENCY = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.UNSAFE}
_SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
# The keys that the format always has, by the path of the object that holds them. Not the optional ones:
# `aimStretch` of a class, `passesDeadline` and `warmKeys` of the domain, and `fleet` of the costs.
DOCUMENTED_KEYS = {
    "": (
        "az balancers bounds clients costs discovery domain domainType failureDomains goal kinds layer me"
        " obligations overShareWorth parties report services stepNs tiers valueBy weights"
    ).split(),
    "bounds.": (
        "cancelling connectTimeoutNs cpuUsPerRequest cpuUsPerS keepaliveNs maxAttempts maxRetryAfterNs"
        " mayTell mostHeld multiplex probes retryAfter secondCopies"
    ).split(),
    "clients.": ["marksRetry"],
    "costs.": "connection crossZone discovery handshake lateFail moves origin peer probe waste".split(),
    "goal.": "whole worstClass worstTenant worstWindow".split(),
    "obligations.": "answerSlackNs askEveryNs coldFrom coldNs drainGraceNs fallNs tipMultiple".split(),
    "parties[].": "name quotaPerS share".split(),
    "report.": "fields how".split(),
    "services[].": "deadlineNs goalTimeNs group idempotency lateShare name stream windowNs worth".split(),
}
REPORT_FIELDS = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}


def required(table: dict[str, Any], key: str, path: str) -> Any:
    """The value of a key; raises `SettingsError` with its path if it is missing."""
    if not isinstance(table, dict) or key not in table:
        raise SettingsError(f"settings lack {path}{key}")
    return table[key]


def enum_value(table: dict[str, Any], text: Any, what: str) -> Any:
    """The value that an enumerated text stands for; raises `MalformedError` if the text is unknown."""
    try:
        return table[text]
    except (KeyError, TypeError):
        raise MalformedError(f"{what} is {text!r}, expected one of {', '.join(table)}") from None


def positive_int(value: Any, what: str) -> int:
    """A number above zero, truncated to an integer; raises `SettingsError` for others, also true and NaN.

    The text of the error is stored data: replicas keep it as a reason in their state, so it stays as it is.
    """
    if type(value) not in (int, float) or not math.isfinite(value) or int(value) <= 0:
        raise SettingsError(f"{what} is {value!r}, and a positive number is wanted")
    return int(value)


def non_negative(value: Any, what: str) -> float:
    """A finite number that is zero or more; raises `SettingsError` for others, also true and text."""
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise SettingsError(f"{what} is {value!r}, and a number from 0 on is wanted")
    return float(value)


def boolean(value: Any, what: str) -> bool:
    """True or false, also as 1 or 0; raises `SettingsError` for others: any text would count as true."""
    if type(value) not in (bool, int) or value not in (0, 1):
        raise SettingsError(f"{what} is {value!r}, expected true or false")
    return bool(value)


def restrict_repeats(one: RequestClass, other: RequestClass) -> RequestClass:
    """The first class, restricted to the repeats that both allow, so that neither's terms are violated."""
    if one.idempotency is not other.idempotency:
        return replace(one, idempotency=Idempotency.UNSAFE)
    scopes = {one.scope, other.scope} - {Scope.ALL}
    keyed = one.idempotency is Idempotency.KEYED
    if keyed and len(scopes) > 1:  # a zone and a cell: neither is part of the other
        return replace(one, idempotency=Idempotency.UNSAFE)
    return replace(
        one, scope=min(scopes, key=lambda s: s.value, default=Scope.ALL), window=min(one.window, other.window)
    )


def read_settings(text: str) -> Settings:
    """Settings from JSON text."""
    try:
        raw = json.loads(text)
    except ValueError as exc:
        raise SettingsError(f"settings are not JSON: {exc}") from None
    return parse_settings(raw)


def parse_settings(raw: Any) -> Settings:
    """Settings from parsed JSON. Unknown keys are ignored; the error for a missing key has its path."""
    limits, rules = required(raw, "bounds", ""), required(raw, "obligations", "")
    goal = required(raw, "goal", "")
    ask = required(raw, "discovery", "") == "ask"
    every = (
        positive_int(required(rules, "askEveryNs", "obligations."), "obligations.askEveryNs") if ask else 0
    )
    try:
        worst = min(0.99, non_negative(required(goal, "worstClass", "goal."), "goal.worstClass"))
        return Settings(
            classes=tuple(_parse_class(c, n) for n, c in enumerate(required(raw, "services", ""))),
            balancers=max(1, int(required(raw, "balancers", ""))),
            zone=int(required(raw, "az", "")),
            zone_name=_zone_name(raw),
            ask_discovery=ask,
            ask_every=every,
            attempt_limit=positive_int(required(limits, "maxAttempts", "bounds."), "bounds.maxAttempts"),
            copies_allowed=boolean(required(limits, "secondCopies", "bounds."), "bounds.secondCopies"),
            cancel_allowed=boolean(required(limits, "cancelling", "bounds."), "bounds.cancelling"),
            cold_share=float(required(rules, "coldFrom", "obligations.")),
            cold_time=int(required(rules, "coldNs", "obligations.")),
            overload_multiple=float(required(rules, "tipMultiple", "obligations.")),
            overload_window=int(required(rules, "fallNs", "obligations.")),
            answer_slack=int(required(rules, "answerSlackNs", "obligations.")),
            step=int(non_negative(required(raw, "stepNs", ""), "stepNs")),
            worth_by_work=required(raw, "valueBy", "") == "work",
            fairness=worst / (1 - worst),
            retry_advice_limit=_retry_advice_limit(limits),
            keepalive=_optional_duration(limits, "keepaliveNs"),
            connect_timeout=_optional_duration(limits, "connectTimeoutNs"),
        )
    except (TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise SettingsError(f"settings hold a value of the wrong kind: {exc}") from None


def _optional_duration(limits: dict[str, Any], key: str) -> int | None:
    """A duration of `bounds` in ns, None if it is not stated; the configuration file has to state it."""
    return int(non_negative(limits[key], f"bounds.{key}")) if key in limits else None


def _zone_name(raw: Any) -> str:
    """The name of the balancer's own zone; empty where its position is not in the list of zones."""
    names, position = raw.get("failureDomains", ()), int(raw["az"])
    return str(names[position]) if 0 <= position < len(names) else ""


def _parse_class(raw: Any, position: int) -> RequestClass:
    path = f"services[{position}]."

    def value(key: str) -> Any:
        return required(raw, key, path)

    return RequestClass(
        aim=positive_int(value("goalTimeNs"), f"{path}goalTimeNs"),
        deadline=positive_int(value("deadlineNs"), f"{path}deadlineNs"),
        worth=float(value("worth")),
        late_share=non_negative(value("lateShare"), f"{path}lateShare"),
        idempotency=enum_value(_IDEMPOTENCY, value("idempotency"), f"{path}idempotency"),
        scope=enum_value(_SCOPES, value("group"), f"{path}group"),
        window=int(non_negative(value("windowNs"), f"{path}windowNs")),
        stream=boolean(value("stream"), f"{path}stream"),
        name=str(value("name")),
    )


def _retry_advice_limit(limits: dict[str, Any]) -> int:
    """The longest time that clients may be advised to stay away, in ns; 0: they are given no advice."""
    longest = non_negative(required(limits, "maxRetryAfterNs", "bounds."), "bounds.maxRetryAfterNs")
    return int(longest) if boolean(required(limits, "retryAfter", "bounds."), "bounds.retryAfter") else 0


def documented_keys(raw: Any) -> frozenset[str]:
    """The keys of `DOCUMENTED_KEYS` that parsed settings hold, as paths such as `services[].group`.

    A key of a list's entries counts only if every entry has it.
    """
    return frozenset(
        f"{table}{key}"
        for table, keys in DOCUMENTED_KEYS.items()
        for key in keys
        if all(isinstance(entry, dict) and key in entry for entry in _entries(raw, table))
    )


def _entries(raw: Any, table: str) -> list[Any]:
    """The objects that a table's path stands for: the settings, one object in them, or a list's entries."""
    if not table or not isinstance(raw, dict):
        return [raw]
    if not table.endswith("[]."):
        return [raw.get(table[:-1])]
    entries = raw.get(table[:-3])
    return entries if isinstance(entries, list) else [None]


def load_report(values: dict[str, float]) -> LoadReport | None:
    """A load report of the figures that the decision module knows; others are ignored."""
    known = {REPORT_FIELDS[name]: value for name, value in values.items() if name in REPORT_FIELDS}
    return LoadReport(**known) if known else None
