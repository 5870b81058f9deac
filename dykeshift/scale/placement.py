"""Where members run: 2 regions, 5 zones, racks of machines; drawn from nothing but their count."""

from __future__ import annotations

from random import Random

from dykeshift.scale.role import Address, Roster, Seat

REGIONS = 2
ZONES = 5
REGION_OF_ZONE = (0, 0, 0, 1, 1)
MACHINES = 2  # members on one machine
RACK = 24  # members in one rack
WHOLE_ZONE = 0  # whole daemons run there: between two of them nothing can be cut by hollow hosts


def address_of(number: int, network: int, port: int) -> Address:
    """A loopback address of its own for each number, in 127.`network`.0.0/16."""
    return (f"127.{network}.{1 + number // 250}.{1 + number % 250}", port)


def place(hollow: int, whole: int, control: int, seed: int, network: int = 60, port: int = 7946) -> Roster:
    """The roster: hollow members spread over all zones, whole daemons in one, control over both regions."""
    chance = Random(f"placement/{seed}")
    zones = [number % ZONES for number in range(hollow)]
    chance.shuffle(zones)
    filled = [0] * ZONES
    seats = list[Seat]()
    for number in range(hollow + whole + control):
        if number < hollow:
            zone = zones[number]
        elif number < hollow + whole:
            zone = WHOLE_ZONE
        else:
            zone = (number - hollow - whole) % ZONES
        seats.append(_seat(number, zone, filled, address_of(number, network, port), number >= hollow + whole))
    return Roster(tuple(seats))


def _seat(number: int, zone: int, filled: list[int], address: Address, control: bool) -> Seat:
    nth = filled[zone]
    filled[zone] += 1
    rack = nth // RACK * ZONES + zone
    return Seat(number, address, REGION_OF_ZONE[zone], zone, rack, nth // MACHINES * ZONES + zone, control)
