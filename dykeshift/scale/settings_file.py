"""Settings and configuration files of a given size, in the words that the program reads today.

The settings have classes of requests (`services`). They have no word for a route to a service of upstreams,
nor for a tenant: what is worded of these here are keys that every reader passes over, so that what is
measured with them is what carrying and reading them would cost, and nothing is decided by them.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

from dykeshift.rig.installation import settings as demo_settings

TARGET_ROUTES = 2_400
TARGET_TENANTS = 30_000
TENANT_PLANS = ("basic", "standard", "large")


def raw_settings(classes: int, balancers: int, zones: Sequence[str] = ()) -> dict[str, Any]:
    """Settings in the protocol's words with so many classes: three kinds in turn."""
    raw = demo_settings(balancers, 0)
    kinds = raw["services"]
    raw["services"] = [
        {**kinds[number % len(kinds)], "name": _class_name(kinds[number % len(kinds)]["name"], number)}
        for number in range(classes)
    ]
    if zones:
        raw["failureDomains"] = list(zones)
    return raw


def _class_name(kind: str, number: int) -> str:
    return kind if number < 3 else f"{kind}-{number}"


def routes_and_tenants(routes: int, tenants: int, services: int, seed: int) -> dict[str, Any]:
    """Keys `routes` and `tenants` that settings of the target size would need; no reader knows them."""
    random = Random(seed)
    return {
        "routes": [
            {
                "name": f"route-{number}",
                "path": f"/v1/service-{number % services}/resource-{number}",
                "service": f"service-{number % services}",
                "class": random.choice(("status-check", "reminder-set", "sms-send")),
            }
            for number in range(routes)
        ],
        "tenants": [
            {
                "name": f"tenant-{number}",
                "plan": random.choice(TENANT_PLANS),
                "requestsPerSecond": random.choice((5, 20, 100)),
                "routes": [random.randrange(max(1, routes)) for _ in range(3)],
            }
            for number in range(tenants)
        ],
    }


def raw_configuration(settings: dict[str, Any], discovery_port: int, known: Any = None) -> dict[str, Any]:
    """A daemon's whole configuration around these settings."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "n0-1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
    }
