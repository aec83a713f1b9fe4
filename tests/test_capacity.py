"""The capacity page: fits, hollow fleets, needs and tables; and slopes that may not worsen, by counted
operations and bytes, which are the same in every run."""

from __future__ import annotations

import math
import random
from pathlib import Path
from unittest import mock

import pytest

from cleatyoke.emulation.__main__ import main
from cleatyoke.emulation.capacity import cost, hollow, nodes, page, results
from cleatyoke.emulation.capacity.fit import fit
from cleatyoke.emulation.capacity.measure import SERIES, Kind, Row, plan_jobs
from cleatyoke.emulation.capacity.needs import Need, all_needs, workers
from cleatyoke.emulation.capacity.plan import PLAN
from cleatyoke.emulation.network import Network
from cleatyoke.membership.members import Membership

DOCS = Path(__file__).resolve().parent.parent / "docs"
FLAT = 0.1  # exponent under which a cost counts as not growing
SIZES = (500, 1000, 2000, 4000)
HOLLOW_SIZES = (20, 40, 80)


def test_a_fit_finds_a_power_law_and_its_residual() -> None:
    found = fit([(size, 3.0 * size**1.5) for size in (10, 20, 40, 80, 160)])
    assert found.exponent == pytest.approx(1.5)
    assert found.factor == pytest.approx(3.0)
    assert found.residual < 1e-9
    assert found.at(1000) == pytest.approx(3.0 * 1000**1.5)
    rng = random.Random(1)
    rough = fit(
        [(size, size * math.exp(rng.gauss(0, 0.2))) for size in (10, 20, 40, 80, 160) for _ in range(9)]
    )
    low, high = rough.range_at(1600, 160)
    assert low < 1600 < high
    assert 0.1 < rough.residual < 0.3
    assert high / low > rough.range_at(160, 160)[1] / rough.range_at(160, 160)[0], "farther is less certain"


def test_a_fit_wants_two_sizes() -> None:
    with pytest.raises(ValueError):
        fit([(10, 1.0), (10, 2.0)])


def operations(wrong: bool = False) -> dict[str, float]:
    """The exponents of what is counted for one change, a primary that moves, a rest and a request."""
    counted: dict[str, list[tuple[float, float]]] = {}
    for size in SIZES:
        found = nodes.count_operations(size)
        for name in ("change", "primary", "rest", "request"):
            counted.setdefault(name, []).append((size, getattr(found, name).operations))
    return {name: fit(points).exponent for name, points in counted.items()}


def test_no_cost_of_a_change_a_rest_or_a_request_grows_with_the_nodes() -> None:
    exponents = operations()
    assert max(exponents.values()) < FLAT, exponents


def test_a_scan_of_all_nodes_for_one_change_worsens_the_exponent() -> None:
    from cleatyoke.discovery.directory import Directory

    real = Directory.store

    def scanning(self: Directory, box: object) -> int:
        len([other for other in self.instances.values() if other is box])
        return real(self, box)  # type: ignore[arg-type]

    with mock.patch.object(Directory, "store", scanning):
        # The list itself is taken in many steps, so that smaller sizes do.
        few, many = (nodes.ListedFront(size) for size in (200, 800))
        costs = [
            (size, cost.count_operations(lambda front=front: front.change(150, nodes.EndpointState.DRAINING)))  # type: ignore[misc]
            for size, front in ((200, few), (800, many))
        ]
    assert fit(costs).exponent > 5 * FLAT


def quiet_bytes(make: type[Membership]) -> float:
    """Exponent of a member's bytes a second at rest."""
    points = []
    for size in HOLLOW_SIZES:
        with mock.patch.object(hollow, "Membership", make):
            fleet = hollow.settled_fleet(size, 5)
        _, before = fleet.traffic()
        fleet.run(6.0)
        points.append((size, (fleet.traffic()[1] - before) / size))
    return fit(points).exponent


class Chatty(Membership):
    """Sends its whole view with each probe."""

    def probe_next_member(self) -> None:
        super().probe_next_member()
        self.start_exchange(self.records[next(iter(self.active_members))].update.address)


def test_a_member_at_rest_sends_alike_in_larger_fleets_and_one_that_does_not_is_caught() -> None:
    assert quiet_bytes(Membership) < 0.25
    assert quiet_bytes(Chatty) > 0.5


def test_a_settled_fleet_agrees_and_goes_on_agreeing() -> None:
    fleet = hollow.settled_fleet(30, 2)
    assert hollow.agreed(fleet)
    fleet.network = Network(2)
    fleet.run(20.0)
    assert hollow.agreed(fleet)
    assert fleet.has_one_view()
    assert not fleet.journal.deaths


def test_a_lost_zone_is_no_agreement_before_all_know_of_it() -> None:
    fleet = hollow.settled_fleet(40, 3)
    fleet.kill(7)
    assert not hollow.agreed(fleet)
    hollow.wait_until_agreed(fleet)
    assert hollow.agreed(fleet)
    found = hollow.zone_lost(40, 3)
    assert 1.0 < found.settled < 60
    assert found.most_bytes >= found.mean_bytes > 0


def row(duty: str, figure: str, size: int, value: float, fitted: bool = True) -> Row:
    return Row(duty, figure, "nodes", Kind.REAL.value, size, 1, fitted, value)


def test_runs_without_an_end_are_counted_and_do_not_spoil_the_fit() -> None:
    rows = [row("node list", "rest", size, float(size)) for size in (10, 20, 40)]
    rows += [row("node list", "rest", 80, math.inf), row("node list", "rest", 160, 500.0, fitted=False)]
    found = results.Results(rows)["node list", "rest"]
    assert found.fit.exponent == pytest.approx(1.0)
    assert found.lost == 1
    assert (found.near_size, found.near) == (160, 500.0)
    assert math.isnan(results.Results(rows).at("node list", "change"))


def measured() -> results.Results:
    rows = results.read_rows(DOCS / "capacity.csv")
    return results.Results(rows, results.read_spreads(DOCS / "distribution.csv"))


def test_what_nothing_carries_comes_first_and_then_the_largest_factor() -> None:
    needs = all_needs(measured())
    factors = [need.factor for need in needs]
    assert factors == sorted(factors, reverse=True)
    assert math.isinf(factors[0])
    assert not any(math.isnan(factor) for factor in factors), "all was measured"
    unmeasured = all_needs(results.Results(results.read_rows(DOCS / "capacity.csv")))
    assert unmeasured[0].duty == "distribution of configuration", "what it was before anything carried it"
    assert all("distribution of" not in need.duty for need in needs)
    assert Need("a", 4.0, 2.0, "s", "real", "somewhere").factor == 2.0


def test_the_page_has_the_tables_of_its_table() -> None:
    found = measured()
    text = (DOCS / "CAPACITY.md").read_text()
    assert page.fill(text, found) == text, "make it again: python -m cleatyoke.emulation capacity --page-only"
    assert workers(found) > 1


def test_rows_come_back_as_they_were_written(tmp_path: Path) -> None:
    rows = [row("node list", "rest", 10, 0.25), row("node list", "rest", 20, math.inf, fitted=False)]
    results.write_rows(rows, tmp_path / "t.csv")
    assert results.read_rows(tmp_path / "t.csv") == rows


def test_a_page_without_a_place_for_a_table_is_refused() -> None:
    with pytest.raises(ValueError, match="ranking"):
        page.fill("# Capacity\n", results.Results([]))


def test_each_series_spans_a_factor_of_sixteen_in_four_sizes_or_more() -> None:
    for one in SERIES:
        assert len(one.sizes) >= 4 and one.sizes[-1] >= 15.9 * one.sizes[0], one.duty
    jobs = plan_jobs(SERIES, (1, 2, 3), ())
    assert sum(not job.fitted for job in jobs) == sum(one.near > 0 for one in SERIES)
    assert {job.size for job in jobs if not job.fitted} == {PLAN.fronts}


@pytest.mark.parametrize(
    ("words", "begins"),
    [
        ("capacity", "--out"),
        ("capacity --out /nowhere/at/all", "--out"),
        ("capacity --sizes 0,5 --out .", "--sizes"),
        ("capacity --sizes -4,5 --out .", "--sizes"),
        ("capacity --sizes nan,5 --out .", "--sizes"),
        ("capacity --sizes 7 --out .", "--sizes"),
        ("capacity --sizes 7,99999999 --out .", "--sizes"),
        ("capacity --jobs 0 --out .", "--jobs"),
        ("capacity --jobs x --out .", "--jobs"),
        ("capacity --seed -1 --out .", "--seed"),
        ("capacity --duty flying --out .", "--duty"),
        ("capacity --page-only --out .", "--page-only"),
        ("capacity --odd", "--odd"),
        ("--size nan", "--size"),
    ],
)
def test_a_bad_option_ends_with_one_line_that_begins_with_its_name(
    words: str,
    begins: str,
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(tmp_path)
    assert main(words.split()) == 2
    told = capsys.readouterr().err.splitlines()
    assert len(told) == 1 and told[0].startswith(begins), told
    assert not list(tmp_path.iterdir()), "nothing is half written"


def test_a_folder_that_can_t_be_written_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with mock.patch("os.access", lambda *_: False):
        assert main(["capacity", "--out", str(tmp_path)]) == 2
    assert capsys.readouterr().err.startswith("--out")
