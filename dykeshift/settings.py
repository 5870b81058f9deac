"""Parses settings and load reports in the deployment's format, for the simulator adapter and the balancer."""

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
    ask = required(raw, "discovery", "") == "ask"
    every = (
        positive_int(required(rules, "askEveryNs", "obligations."), "obligations.askEveryNs") if ask else 0
    )
    try:
        worst = min(0.99, float(raw.get("goal", {}).get("worstClass", 0.0)))
        classes = tuple(
            RequestClass(
                name=str(c.get("name", n)),
                aim=positive_int(required(c, "goalTimeNs", f"services[{n}]."), f"services[{n}].goalTimeNs"),
                deadline=positive_int(
                    required(c, "deadlineNs", f"services[{n}]."), f"services[{n}].deadlineNs"
                ),
                worth=float(required(c, "worth", f"services[{n}].")),
                late_share=float(c.get("lateShare", 0.0)),
                idempotency=enum_value(
                    _IDEMPOTENCY, required(c, "idempotency", f"services[{n}]."), "idempotency"
                ),
                scope=enum_value(_SCOPES, c.get("group", "all"), "group"),
                window=int(c.get("windowNs", 0)),
                stream=bool(c.get("stream", False)),
            )
            for n, c in enumerate(required(raw, "services", ""))
        )
        return Settings(
            classes=classes,
            balancers=max(1, int(required(raw, "balancers", ""))),
            zone=int(raw.get("az", 0)),
            ask_discovery=ask,
            ask_every=every,
            attempt_limit=positive_int(required(limits, "maxAttempts", "bounds."), "bounds.maxAttempts"),
            copies_allowed=bool(required(limits, "secondCopies", "bounds.")),
            cancel_allowed=bool(required(limits, "cancelling", "bounds.")),
            cold_share=float(required(rules, "coldFrom", "obligations.")),
            cold_time=int(required(rules, "coldNs", "obligations.")),
            overload_multiple=float(required(rules, "tipMultiple", "obligations.")),
            overload_window=int(required(rules, "fallNs", "obligations.")),
            answer_slack=int(required(rules, "answerSlackNs", "obligations.")),
            step=int(raw.get("stepNs", 0)),
            worth_by_work=raw.get("valueBy") == "work",
            fairness=worst / (1 - worst),
            retry_advice_limit=int(limits.get("maxRetryAfterNs", 0)) if limits.get("retryAfter") else 0,
        )
    except (TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise SettingsError(f"settings hold a value of the wrong kind: {exc}") from None


def load_report(values: dict[str, float]) -> LoadReport | None:
    """A load report of the figures that the decision module knows; others are ignored."""
    known = {REPORT_FIELDS[name]: value for name, value in values.items() if name in REPORT_FIELDS}
    return LoadReport(**known) if known else None
