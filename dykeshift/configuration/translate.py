"""Converts between resources and settings files, and from the lists of `dykeshift.versions` to resources.

A settings file describes one service. The entries of its `services` are classes of requests here; everything
else becomes the terms of the service. The keys listed in `dykeshift.versions.own.MINE` (location of the
balancer, how it queries discovery) are local to each balancer and do not become resources.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from dykeshift.configuration.resources import (
    Ban,
    ClassTerms,
    Key,
    Kind,
    ListWord,
    Service,
    ban_key,
    encode_body,
    list_word_key,
)
from dykeshift.configuration.transactions import Put
from dykeshift.interface import Settings
from dykeshift.settings import parse_settings
from dykeshift.versions.book import StoreState

SettingsDict = dict[str, Any]
# The local keys that the settings parser requires.
OWN_SETTINGS_PLACEHOLDER: SettingsDict = {"discovery": "", "az": 0, "stepNs": 0}


def class_settings(name: str, terms: ClassTerms) -> SettingsDict:
    """A class as an entry of `services` in a settings file."""
    return {
        "name": name,
        "goalTimeNs": terms.aim_ns,
        "deadlineNs": terms.deadline_ns,
        "worth": terms.worth,
        "lateShare": terms.late_share,
        "idempotency": terms.idempotency,
        "group": terms.scope,
        "windowNs": terms.window_ns,
        "stream": terms.stream,
    }


def service_settings(service: Service) -> SettingsDict:
    """The contents of a settings file except for the classes."""
    return {
        "balancers": service.balancers,
        "valueBy": "work" if service.worth_by_work else "request",
        "goal": {"worstClass": service.worst_class},
        "bounds": {
            "maxAttempts": service.attempt_limit,
            "secondCopies": service.copies_allowed,
            "cancelling": service.cancel_allowed,
            "retryAfter": service.retry_advice,
            "maxRetryAfterNs": service.retry_advice_limit_ns,
        },
        "obligations": {
            "coldFrom": service.cold_share,
            "coldNs": service.cold_time_ns,
            "tipMultiple": service.overload_multiple,
            "fallNs": service.overload_window_ns,
            "answerSlackNs": service.answer_slack_ns,
            "askEveryNs": service.ask_every_ns,
        },
    }


def words_of(service: Service, classes: Iterable[tuple[str, ClassTerms]]) -> SettingsDict:
    """The contents of a settings file, without the keys that are local to each balancer."""
    ordered = sorted(classes, key=lambda item: (item[1].position, item[0]))
    return {**service_settings(service), "services": [class_settings(name, terms) for name, terms in ordered]}


def puts_of(words: SettingsDict, service: str, servers: int = 0) -> tuple[Put, ...]:
    """The resources described by the contents of a settings file, for a service of this name; raises
    SettingsError (of `dykeshift.settings`) if the contents are invalid."""
    parse_settings({**OWN_SETTINGS_PLACEHOLDER, **words})  # validates: the lookups below rely on it
    limits, rules = words["bounds"], words["obligations"]
    terms = Service(
        balancers=max(1, int(words["balancers"])),
        attempt_limit=int(limits["maxAttempts"]),
        copies_allowed=bool(limits["secondCopies"]),
        cancel_allowed=bool(limits["cancelling"]),
        cold_share=float(rules["coldFrom"]),
        cold_time_ns=int(rules["coldNs"]),
        overload_multiple=float(rules["tipMultiple"]),
        overload_window_ns=int(rules["fallNs"]),
        answer_slack_ns=int(rules["answerSlackNs"]),
        worth_by_work=words["valueBy"] == "work",
        worst_class=min(0.99, float(words["goal"]["worstClass"])),
        retry_advice=bool(limits["retryAfter"]),
        retry_advice_limit_ns=int(limits["maxRetryAfterNs"]),
        ask_every_ns=int(rules.get("askEveryNs", 0)),
        servers=servers,
    )
    puts = [Put(Key(Kind.SERVICE, service), encode_body(terms))]
    for position, entry in enumerate(words["services"]):
        puts.append(Put(Key(Kind.CLASS, str(entry["name"])), encode_body(_class_terms(entry, position))))
    return tuple(puts)


def _class_terms(entry: SettingsDict, position: int) -> ClassTerms:
    return ClassTerms(
        aim_ns=int(entry["goalTimeNs"]),
        deadline_ns=int(entry["deadlineNs"]),
        worth=float(entry["worth"]),
        late_share=float(entry["lateShare"]),
        idempotency=entry["idempotency"],
        scope=entry["group"],
        window_ns=int(entry["windowNs"]),
        stream=bool(entry["stream"]),
        position=position,
    )


def settings_of(
    service: Service, classes: Iterable[tuple[str, ClassTerms]], own: SettingsDict | None = None
) -> Settings:
    """The settings of a service and its classes, with the local settings of a balancer (`own`); raises
    SettingsError if they are invalid."""
    return parse_settings({**OWN_SETTINGS_PLACEHOLDER, **words_of(service, classes), **(own or {})})


def puts_of_lists(pages: StoreState, service: str) -> tuple[Put, ...]:
    """The bans and list words in the state of `dykeshift.versions`, which describes one service."""
    puts = [
        Put(ban_key(service, server), encode_body(Ban(service, server, out.by)))
        for server, out in pages.out.items()
    ]
    words = [
        ListWord("preferred", pages.preferred, service),
        ListWord("closed", pages.closed, service),
        ListWord("wary", pages.wary, service),
        ListWord("doubt", (pages.doubt,), service),
    ]
    puts += [Put(list_word_key(one.word, service), encode_body(one)) for one in words if one.names]
    return tuple(puts)
