"""The capacity page: fits, hollow fleets, needs and tables. Guards against costs that grow with the number of
nodes or members, by operation counts and bytes, which are the same in every run.
"""

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
FLAT = 0.1  # largest exponent of a cost that counts as independent of the size
SIZES = (500, 1000, 2000, 4000)
HOLLOW_SIZES = (20, 40, 80)


def test_fit_of_a_power_law_returns_its_parameters_and_residual() -> None:
    found = fit([(size, 3.0 * size**1.5) for size in (10, 20, 40, 80, 160)])
    assert found.exponent == pytest.approx(1.5)
    assert found.factor == pytest.approx(3.0)
    assert found.residual < 1e-9
    assert found.at(1000) == pytest.approx(3.0 * 1000**1.5)
    rng = random.Random(1)
    noisy = fit(
        [(size, size * math.exp(rng.gauss(0, 0.2))) for size in (10, 20, 40, 80, 160) for _ in range(9)]
    )
    low, high = noisy.range_at(1600, 160)
    assert low < 1600 < high
    assert 0.1 < noisy.residual < 0.3
    assert high / low > noisy.range_at(160, 160)[1] / noisy.range_at(160, 160)[0], (
        "the range widens with the distance from the measured sizes"
    )


def test_fit_of_a_single_size_raises_value_error() -> None:
    with pytest.raises(ValueError):
        fit([(10, 1.0), (10, 2.0)])


def operation_exponents(wrong: bool = False) -> dict[str, float]:
    """Return the exponents of the operations for a change, a move of a primary, idle time and a request."""
    counted: dict[str, list[tuple[float, float]]] = {}
    for size in SIZES:
        found = nodes.count_operations(size)
        for name in ("change", "primary", "rest", "request"):
            counted.setdefault(name, []).append((size, getattr(found, name).operations))
    return {name: fit(points).exponent for name, points in counted.items()}


def test_operations_of_changes_idle_time_and_requests_do_not_grow_with_the_nodes() -> None:
    exponents = operation_exponents()
    assert max(exponents.values()) < FLAT, exponents


def test_scan_of_all_nodes_for_one_change_raises_the_exponent() -> None:
    from cleatyoke.discovery.directory import Directory

    real = Directory.store

    def store_with_scan(self: Directory, endpoint: object) -> int:
        len([other for other in self.instances.values() if other is endpoint])
        return real(self, endpoint)  # type: ignore[arg-type]

    with mock.patch.object(Directory, "store", store_with_scan):
        # Smaller sizes, since the scan runs for each entry of the initial list too.
        few, many = (nodes.ListedFront(size) for size in (200, 800))
        costs = [
            (size, cost.count_operations(lambda front=front: front.change(150, nodes.EndpointState.DRAINING)))  # type: ignore[misc]
            for size, front in ((200, few), (800, many))
        ]
    assert fit(costs).exponent > 5 * FLAT


def idle_bytes_exponent(make: type[Membership]) -> float:
    """Return the exponent of the bytes that a member sends while nothing changes."""
    points = []
    for size in HOLLOW_SIZES:
        with mock.patch.object(hollow, "Membership", make):
            fleet = hollow.settled_fleet(size, 5)
        _, before = fleet.traffic()
        fleet.run(6.0)
        points.append((size, (fleet.traffic()[1] - before) / size))
    return fit(points).exponent


class ExchangesWithEachProbe(Membership):
    """Exchanges its full state with each probe."""

    def probe_next_member(self) -> None:
        super().probe_next_member()
        self.start_exchange(self.records[next(iter(self.active_members))].update.address)


def test_bytes_of_an_idle_member_do_not_grow_with_the_fleet_and_growth_is_detected() -> None:
    assert idle_bytes_exponent(Membership) < 0.25
    assert idle_bytes_exponent(ExchangesWithEachProbe) > 0.5


def test_settled_fleet_agrees_and_stays_in_agreement() -> None:
    fleet = hollow.settled_fleet(30, 2)
    assert hollow.all_agree(fleet)
    fleet.network = Network(2)
    fleet.run(20.0)
    assert hollow.all_agree(fleet)
    assert fleet.has_one_view()
    assert not fleet.journal.deaths


def test_fleet_with_killed_members_agrees_only_once_all_know() -> None:
    fleet = hollow.settled_fleet(40, 3)
    fleet.kill(7)
    assert not hollow.all_agree(fleet)
    hollow.wait_until_all_agree(fleet)
    assert hollow.all_agree(fleet)
    found = hollow.zone_lost(40, 3)
    assert 1.0 < found.settled < 60
    assert found.most_bytes >= found.mean_bytes > 0


def row(duty: str, figure: str, size: int, value: float, fitted: bool = True) -> Row:
    return Row(duty, figure, "nodes", Kind.REAL.value, size, 1, fitted, value)


def test_infinite_values_are_counted_and_left_out_of_the_fit() -> None:
    rows = [row("node list", "rest", size, float(size)) for size in (10, 20, 40)]
    rows += [row("node list", "rest", 80, math.inf), row("node list", "rest", 160, 500.0, fitted=False)]
    found = results.Results(rows)["node list", "rest"]
    assert found.fit.exponent == pytest.approx(1.0)
    assert found.unfinished == 1
    assert (found.near_size, found.near) == (160, 500.0)
    assert math.isnan(results.Results(rows).at("node list", "change"))


def measured_results() -> results.Results:
    rows = results.read_rows(DOCS / "capacity.csv")
    return results.Results(rows, results.read_propagation(DOCS / "distribution.csv"))


def test_needs_are_ranked_missing_duties_first_then_by_descending_factor() -> None:
    needs = all_needs(measured_results())
    factors = [need.factor for need in needs]
    assert factors == sorted(factors, reverse=True)
    assert math.isinf(factors[0])
    assert not any(math.isnan(factor) for factor in factors), "every need is measured"
    unmeasured = all_needs(results.Results(results.read_rows(DOCS / "capacity.csv")))
    assert unmeasured[0].duty == "distribution of configuration", (
        "missing where the distribution was not measured"
    )
    assert all("distribution of" not in need.duty for need in needs)
    assert Need("a", 4.0, 2.0, "s", "real", "somewhere").factor == 2.0


def test_page_contains_the_tables_generated_from_its_csv_file() -> None:
    found = measured_results()
    text = (DOCS / "CAPACITY.md").read_text()
    assert page.fill_tables(text, found) == text, (
        "regenerate it: python -m cleatyoke.emulation capacity --page-only"
    )
    assert workers(found) > 1


def test_written_rows_are_read_back_unchanged(tmp_path: Path) -> None:
    rows = [row("node list", "rest", 10, 0.25), row("node list", "rest", 20, math.inf, fitted=False)]
    results.write_rows(rows, tmp_path / "t.csv")
    assert results.read_rows(tmp_path / "t.csv") == rows


def test_page_without_the_markers_of_a_table_is_refused() -> None:
    with pytest.raises(ValueError, match="ranking"):
        page.fill_tables("# Capacity\n", results.Results([]))


def test_each_series_spans_a_factor_of_sixteen_in_at_least_four_sizes() -> None:
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
def test_invalid_option_fails_with_one_line_that_begins_with_its_name(
    words: str,
    begins: str,
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(tmp_path)
    assert main(words.split()) == 2
    error_lines = capsys.readouterr().err.splitlines()
    assert len(error_lines) == 1 and error_lines[0].startswith(begins), error_lines
    assert not list(tmp_path.iterdir()), "no file is written"


def test_folder_that_is_not_writable_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with mock.patch("os.access", lambda *_: False):
        assert main(["capacity", "--out", str(tmp_path)]) == 2
    assert capsys.readouterr().err.startswith("--out")
