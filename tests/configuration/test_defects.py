"""Each seeded defect of the store is found: by a drawn day, or by the test that is named for it."""

from __future__ import annotations

from collections.abc import Callable

from tests.configuration import test_memory, test_store
from tests.configuration.defects import DEFECTS
from tests.configuration.world import play
from tests.seeded import defect_tests

TESTS: dict[str, Callable[[], None]] = {
    "half of the tenants may go": test_store.test_the_last_good_stays_where_a_change_would_do_harm,
    "outcomes without end": test_memory.test_memory_is_flat_over_ten_thousand_changes,
    "a route moved at once": test_store.test_what_a_transaction_under_way_names_is_not_changed_meanwhile,
}
SEEDS = {name: 1 for name in DEFECTS if name not in TESTS}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(DEFECTS, SEEDS, TESTS, play)
