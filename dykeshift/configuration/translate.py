"""Between the words of a settings file (and the book of `dykeshift.versions`) and the resources.

A settings file speaks of one service: its `services` are classes of requests here, everything else is the
terms of the service. The words of `dykeshift.versions.own.MINE` (where a balancer stands, how it asks
discovery) are each balancer's own and no resources.
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
from dykeshift.versions.book import Pages

Words = dict[str, Any]
NOT_TOLD: Words = {"discovery": ""}  # of a balancer's own words, what its reader wants to find


def class_words(name: str, terms: ClassTerms) -> Words:
    """One entry of a settings file's `services`."""
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


def service_words(service: Service) -> Words:
    """A settings file's words for all but the classes."""
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


def words_of(service: Service, classes: Iterable[tuple[str, ClassTerms]]) -> Words:
    """A settings file's words, without those that are each balancer's own."""
    ordered = sorted(classes, key=lambda item: (item[1].position, item[0]))
    return {**service_words(service), "services": [class_words(name, terms) for name, terms in ordered]}


def puts_of(words: Words, service: str, servers: int = 0) -> tuple[Put, ...]:
    """The resources that a settings file words, for a service of this name; SettingsError (of
    `dykeshift.settings`) where it is no settings file."""
    parse_settings({**NOT_TOLD, **words})  # so that what follows finds what it needs
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
        worth_by_work=words.get("valueBy") == "work",
        worst_class=min(0.99, float(words.get("goal", {}).get("worstClass", 0.0))),
        retry_advice=bool(limits.get("retryAfter")),
        retry_advice_limit_ns=int(limits.get("maxRetryAfterNs", 0)),
        ask_every_ns=int(rules.get("askEveryNs", 0)),
        servers=servers,
    )
    puts = [Put(Key(Kind.SERVICE, service), encode_body(terms))]
    for position, entry in enumerate(words["services"]):
        name = str(entry.get("name", position))
        puts.append(Put(Key(Kind.CLASS, name), encode_body(_class_terms(entry, position))))
    return tuple(puts)


def _class_terms(entry: Words, position: int) -> ClassTerms:
    return ClassTerms(
        aim_ns=int(entry["goalTimeNs"]),
        deadline_ns=int(entry["deadlineNs"]),
        worth=float(entry["worth"]),
        late_share=float(entry.get("lateShare", 0.0)),
        idempotency=entry["idempotency"],
        scope=entry.get("group", "all"),
        window_ns=int(entry.get("windowNs", 0)),
        stream=bool(entry.get("stream", False)),
        position=position,
    )


def settings_of(
    service: Service, classes: Iterable[tuple[str, ClassTerms]], own: Words | None = None
) -> Settings:
    """The settings that they make, with the words that are a balancer's `own`; SettingsError where they make
    none."""
    return parse_settings({**NOT_TOLD, **words_of(service, classes), **(own or {})})


def puts_of_lists(pages: Pages, service: str) -> tuple[Put, ...]:
    """The bans and list words of a book of `dykeshift.versions`, for the one service that it speaks of."""
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
