"""Conversion between settings files and resources, and the configuration that a balancer acts on.

The tests with `derandomize` draw their examples by a hash of their own source: a changed name in one of them
changes the examples.
"""

from __future__ import annotations

from itertools import product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.configuration.acting import (
    acting_class,
    acting_route,
    acting_settings,
    action_without_lease,
    list_names,
    banned_servers,
)
from dykeshift.configuration.meets import guarded
from dykeshift.configuration.resources import (
    Body,
    ClassTerms,
    Joint,
    Key,
    Kind,
    Resource,
    Route,
    Service,
    decode_body,
    encode_body,
)
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.transactions import Phase, Put
from dykeshift.configuration.translate import puts_of, puts_of_lists, settings_of, words_of
from dykeshift.interface import Idempotency
from dykeshift.settings import SettingsError, parse_settings
from dykeshift.versions.book import Out, StoreState
from dykeshift.versions.terms import more_permissive, contradicts, allowed_repeats
from tests.configuration.words import (
    SAFE,
    SERVICE,
    UNSAFE,
    Driver,
    ban,
    class_key,
    put,
    route_key,
    service_key,
    small_store,
    word,
)

times = st.integers(1, 10**12)
shares = st.floats(0, 1)
classes = st.fixed_dictionaries(
    {
        "name": st.text(st.characters(codec="utf-8", exclude_categories=["C", "Z"]), min_size=1, max_size=8),
        "goalTimeNs": times,
        "deadlineNs": times,
        "worth": st.floats(0, 100),
        "idempotency": st.sampled_from(["pure", "token", "side_effect"]),
        "lateShare": shares,
        "group": st.sampled_from(["all", "zone", "cell"]),
        "windowNs": st.integers(0, 10**12),
        "stream": st.booleans(),
    },
)
files = st.fixed_dictionaries(
    {
        "balancers": st.integers(1, 1000),
        "discovery": st.sampled_from(["push", "ask"]),
        "services": st.lists(classes, min_size=1, max_size=4, unique_by=lambda c: str(c["name"])),
        "bounds": st.fixed_dictionaries(
            {
                "maxAttempts": st.integers(1, 9),
                "secondCopies": st.booleans(),
                "cancelling": st.booleans(),
                "retryAfter": st.booleans(),
                "maxRetryAfterNs": st.integers(0, 10**12),
            }
        ),
        "obligations": st.fixed_dictionaries(
            {
                "coldFrom": shares,
                "coldNs": times,
                "tipMultiple": st.floats(1, 9),
                "fallNs": times,
                "answerSlackNs": times,
                "askEveryNs": times,
            }
        ),
        "az": st.integers(0, 9),
        "stepNs": st.integers(0, 10**9),
        "valueBy": st.sampled_from(["work", "request"]),
        "goal": st.fixed_dictionaries({"worstClass": shares}),
    }
)
OWN = ("az", "me", "discovery", "stepNs")


def typed(puts: tuple[Put, ...]) -> tuple[Service, list[tuple[str, ClassTerms]]]:
    """The terms of the service and the classes among the resources of a settings file."""
    bodies = {one.key: decode_body(one.key.kind, one.body) for one in puts}
    (service,) = (body for body in bodies.values() if isinstance(body, Service))
    return service, [(key.name, body) for key, body in bodies.items() if isinstance(body, ClassTerms)]


@given(words=files)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_settings_file_comes_back_from_its_resources(words: dict[str, Any]) -> None:
    service, terms = typed(puts_of(words, "cart"))
    own = {name: words[name] for name in OWN if name in words}
    assert settings_of(service, reversed(terms), own) == parse_settings(words)
    again = words_of(service, terms)
    assert words_of(*typed(puts_of(again, "cart"))) == again


@given(words=files)
@settings(max_examples=50, deadline=None, derandomize=True)
def test_a_balancer_builds_its_settings_from_a_store(words: dict[str, Any]) -> None:
    driver = Driver()
    driver.through(*puts_of(words, "cart"))
    own = {name: words[name] for name in OWN if name in words}
    held = driver.store.scoped(Scope(frozenset({"cart"})))
    assert acting_settings(held, "cart", own) == parse_settings(words)
    assert acting_settings(held, "mail", own) is None


def test_an_invalid_settings_file_gives_no_resources() -> None:
    files: list[dict[str, Any]] = [{}, {"services": []}, {"bounds": 3, "obligations": {}}]
    for wrong in files:
        with pytest.raises(SettingsError):
            puts_of(wrong, "cart")


def test_the_bans_and_lists_of_a_book_become_resources() -> None:
    pages = StoreState(
        out={"s1": Out(3, "7")}, preferred=("s2",), closed=("send",), wary=("s3",), doubt="refuse"
    )
    driver = Driver()
    driver.through(put(service_key("cart"), SERVICE))
    driver.through(*puts_of_lists(pages, "cart"))
    held = driver.store.scoped(Scope(frozenset({"cart"})))
    assert banned_servers(held, "cart") == {"s1"}
    assert [list_names(held, w, "cart") for w in ("preferred", "closed", "wary")] == [
        {"s2"},
        {"send"},
        {"s3"},
    ]
    assert action_without_lease(held, "cart") == "refuse"


# ---- the meet ----

class_terms = st.builds(
    ClassTerms,
    times,
    times,
    st.floats(0, 9),
    st.sampled_from(["pure", "token", "side_effect"]),
    st.sampled_from(["all", "zone", "cell"]),
    st.integers(0, 5),
)
service_terms = st.builds(
    Service,
    balancers=st.integers(1, 3),
    attempt_limit=st.integers(1, 3),
    copies_allowed=st.booleans(),
    cancel_allowed=st.booleans(),
    cold_share=st.sampled_from([0.1, 0.5]),
    cold_time_ns=st.integers(0, 2),
    overload_multiple=st.sampled_from([1.0, 2.0]),
    overload_window_ns=st.integers(0, 2),
    answer_slack_ns=st.integers(0, 2),
    worst_class=st.sampled_from([0.0, 0.5]),
)


def joint(key: Key, old: Body | None, new: Body | None) -> Resource:
    return Resource(
        key,
        1,
        encode_body(old) if old is not None else None,
        Joint(encode_body(new) if new is not None else None),
    )


def no_class(name: str) -> None:
    return None


@given(old=service_terms, new=service_terms, one=class_terms, other=class_terms)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_the_meet_is_never_bolder_than_the_old_or_the_new(
    old: Service, new: Service, one: ClassTerms, other: ClassTerms
) -> None:
    held = [joint(service_key("s"), old, new), joint(class_key("c"), one, other)]
    acting = acting_settings(held, "s")
    assert acting is not None
    before, after = settings_of(old, [("c", one)]), settings_of(new, [("c", other)])
    assert not more_permissive(acting, before)
    assert not more_permissive(acting, after)
    needs = guarded(service_key("s"), old, new, no_class, no_class)
    needs |= guarded(class_key("c"), one, other, no_class, no_class)
    assert needs == contradicts(before, after)
    if not needs:
        assert not more_permissive(before, after)
        assert not more_permissive(after, before)


@given(one=class_terms, other=class_terms, moves=st.booleans())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_route_in_its_joint_phase_allows_what_both_classes_allow(
    one: ClassTerms, other: ClassTerms, moves: bool
) -> None:
    held = {
        class_key("c"): Resource(class_key("c"), 1, encode_body(one)),
        class_key("d"): Resource(class_key("d"), 1, encode_body(other)),
    }
    old, new = Route("s", "c"), Route("t" if moves else "s", "d")
    acting = acting_route(joint(route_key("r"), old, new), held.get)
    assert acting is not None
    assert acting.service == "s"
    for key in held:
        alone = acting_class(held[key])
        assert alone is not None
        for scope, until in allowed_repeats(acting.request_class).items():
            assert until <= allowed_repeats(alone).get(scope, -1.0)
    if moves:
        assert acting.request_class.idempotency in (Idempotency.SAFE, Idempotency.UNSAFE)

    def lookup(name: str) -> ClassTerms:
        return one if name == "c" else other

    if not guarded(route_key("r"), old, new, lookup, lookup):
        after = acting_route(Resource(route_key("r"), 1, encode_body(new)), held.get)
        assert after is not None
        assert allowed_repeats(after.request_class) == allowed_repeats(acting.request_class)


def test_a_new_resource_does_not_exist_until_it_is_in_force() -> None:
    assert acting_class(joint(class_key("c"), None, SAFE)) is None
    assert acting_route(joint(route_key("r"), None, Route("s", "c")), lambda key: None) is None
    assert acting_settings([joint(service_key("s"), None, SERVICE)], "s") is None
    held = [Resource(service_key("s"), 1, encode_body(SERVICE)), joint(class_key("c"), None, SAFE)]
    acting = acting_settings(held, "s")
    assert acting is not None
    assert acting.classes == ()


def test_bans_and_lists_apply_in_a_joint_phase_whether_added_or_lifted() -> None:
    driver = small_store()
    driver.through(ban("cart", "s1"), word("wary", "s1", service="cart"))
    lifted = driver.begin(
        word("wary", "s2", service="cart"), word("doubt", "refuse"), deletes=(Key(Kind.BAN, "cart/s1"),)
    )
    driver.advance(lifted, Phase.JOINT)
    held = driver.store.scoped(Scope(frozenset({"cart"})))
    assert banned_servers(held, "cart") == {"s1"}
    assert list_names(held, "wary", "cart") == {"s1", "s2"}
    assert action_without_lease(held, "cart") == "refuse"
    assert (banned_servers(held, "mail"), action_without_lease(held, "mail")) == (frozenset(), "refuse")
    driver.advance(lifted, Phase.COMMITTED)
    assert banned_servers(driver.store.scoped(Scope.everything()), "cart") == frozenset()


@pytest.mark.parametrize(("one", "other"), product((SAFE, UNSAFE), repeat=2))
def test_a_class_is_guarded_where_its_idempotency_differs(one: ClassTerms, other: ClassTerms) -> None:
    assert guarded(class_key("c"), one, other, no_class, no_class) == (one != other)
