"""Seeded soaks of real processes whose control machines are replaced; `tests/soak.py --control` plays more by hand."""

import asyncio

import pytest
from control_disruptions import ControlSoak
from disruptions import BOUNDS, CATCH_UP_S
from machine_time import wait_within
from soak import play
from stand_in.scene import Scene

pytestmark = pytest.mark.xdist_group("control-soak")

PROXIES, KILLS = 15, 5
IN_FORCE_S = 7.0
"""ContactMs and ApplyMs: a proxy is in touch by then and goes by the newest configuration."""


@pytest.mark.parametrize("seed", [2, 11])
def test_a_seeded_soak_of_control_machines_breaks_no_rule(tmp_path, seed):
    """Guards against proxies with an outdated configuration after all control machines were replaced (CONFIG)."""
    verdict, log, notes = asyncio.run(play(tmp_path, seed, 24.0, soak_type=ControlSoak))
    assert verdict.violations == [], (verdict, log, notes)
    assert verdict.own_ends == {}, (verdict, log, notes)
    assert verdict.logged_errors == [], (verdict, log, notes)
    assert verdict.served > 100, (verdict, log, notes)


def test_every_proxy_has_the_newest_configuration_after_all_control_processes_were_killed(
    built, tmp_path
):
    """Guards against a proxy without a search for control nodes, after a connection was reset as it opened (CONFIG)."""

    async def go():
        options = {"edges": PROXIES, "services": 1, "bounds": BOUNDS}
        async with Scene(built, tmp_path / "run", **options) as scene:
            fleet = scene.fleet
            controls = [m.name for m in fleet.machines.values() if m.does_serve("control")]
            for kill in range(KILLS):
                assert (await scene.configure()).acked_at is not None
                wiped = controls[kill % len(controls)]
                others = [name for name in controls if name != wiped]
                await asyncio.gather(fleet.power_off(wiped, wipe=True), fleet.power_off(*others))
                await asyncio.sleep(0.5)
                await fleet.power_on(*controls)
                await asyncio.sleep(CATCH_UP_S)
            order = await scene.configure()
            assert order.acked_at is not None
            logs = [path.read_text for path in (tmp_path / "run").glob("edge-*/proxy.log")]
            applied = f"version={order.revision} "
            await wait_within(fleet, IN_FORCE_S, lambda: all(applied in log() for log in logs))
            return len(logs), fleet.logged_errors()

    assert asyncio.run(go()) == (PROXIES, [])
