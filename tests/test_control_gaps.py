"""How long no order is acknowledged after one core's trouble, small enough for the suite."""

import pytest

from petrelhaven.simulator import control_gaps
from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("place", ["head", "middle"])
def test_a_core_back_with_an_empty_disk_is_taken_in_as_soon_as_it_tells_of_itself(losses, place):
    """It is alive by name again within a second, so nothing but its new disk shows the loss."""

    async def go(fleet):
        return await control_gaps._play(fleet, place, control_gaps._wiped)

    (gap, _), _ = inside(go, 1, ControlFleet, losses=losses)
    assert gap < 2.3
