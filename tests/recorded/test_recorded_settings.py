"""Settings and their errors are as recorded."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.recorded import settings_adapter as adapter
from tests.recorded.make_settings import main
from tests.recorded.settings_files import DATA, Deployment, changed, outcome

RECORDED: dict[str, Any] = json.loads(DATA.read_text())
BASES: dict[str, Any] = RECORDED["bases"]
WHOLE = {
    "all given": ("settings", "fronts"),
    "least given": ("least settings", "least fronts"),
    "no fronts file": ("least settings", "none"),
    "as shipped": ("settings", "shipped fronts"),
}


@pytest.fixture
def deployment(tmp_path: Path) -> Deployment:
    """Files in a folder of this test's own."""
    return Deployment(tmp_path)


def as_recorded(value: Any) -> Any:
    """The value as JSON keeps it."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("name", WHOLE)
def test_a_whole_deployment_is_read_as_recorded(name: str, deployment: Deployment) -> None:
    """Every fact, with the defaults of what is absent."""
    settings, fronts = WHOLE[name]
    found = deployment.read(BASES[settings], BASES.get(fronts))
    assert as_recorded(found) == RECORDED["whole"][name]


@pytest.mark.parametrize("name", RECORDED["whole scenarios"])
def test_a_whole_scenario_is_read_as_recorded(name: str, deployment: Deployment) -> None:
    """Every fact of it, and the settings that it gives to its fronts."""
    assert as_recorded(deployment.read_scenario(BASES[name])) == RECORDED["whole scenarios"][name]


def test_the_shipped_fronts_file_has_its_keys_and_values() -> None:
    """Operators' copies of the file keep working."""
    assert tomllib.loads(adapter.SHIPPED_FRONTS.read_text()) == BASES["shipped fronts"]


@pytest.mark.parametrize("key", RECORDED["settings by key"])
def test_wrong_settings_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of the JSON settings: absent, of wrong types, out of range."""
    check_cases("settings", key, deployment)


@pytest.mark.parametrize("key", RECORDED["fronts by key"])
def test_wrong_fronts_files_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of the fronts file: absent, of wrong types, out of range."""
    check_cases("fronts", key, deployment)


@pytest.mark.parametrize("key", RECORDED["scenario by key"])
def test_wrong_scenarios_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of a scenario file: absent, of wrong types, out of range."""
    check_cases("scenario", key, deployment)


def check_cases(name: str, key: str, deployment: Deployment) -> None:
    """Each recorded change of one key gives what it gave."""
    base, cases = BASES[name], RECORDED[f"{name} by key"][key]

    def read(values: dict[str, Any]) -> dict[str, Any]:
        if name == "scenario":
            return deployment.read_scenario(values)
        return deployment.read(values) if name == "settings" else deployment.read(BASES["settings"], values)

    whole = read(base)
    given = [{name: value for name, value in case.items() if name != "gives"} for case in cases]
    found = [{**case, "gives": as_recorded(outcome(whole, read(changed(base, [case]))))} for case in given]
    # Compared as text, as some of the values that are tried are equal to no value.
    assert [json.dumps(case) for case in found] == [json.dumps(case) for case in cases]


@pytest.mark.parametrize("name", RECORDED["environments"])
def test_the_environment_gives_what_is_recorded(name: str, deployment: Deployment) -> None:
    """A variable that wins over the file, or is wrong."""
    case, base = RECORDED["environments"][name], BASES["settings"]
    deployment.write_odd_files()
    found = deployment.read(base, None, case["variables"])
    assert as_recorded(outcome(deployment.read(base), found)) == case["gives"]


def test_the_environment_stands_for_absent_keys(deployment: Deployment) -> None:
    """Addresses and the name may come by variables alone."""
    case = RECORDED["environment alone"]
    found = deployment.read(case["settings"], None, case["variables"])
    assert as_recorded(outcome(deployment.read(BASES["settings"]), found)) == case["gives"]


@pytest.mark.parametrize("case", RECORDED["texts for a fronts file"], ids=lambda case: repr(case["text"]))
def test_a_fronts_file_of_any_text_gives_what_is_recorded(
    case: dict[str, str], deployment: Deployment
) -> None:
    """What is no TOML is named with its line."""
    assert deployment.fronts_text(BASES["settings"], case["text"]) == case["gives"]


@pytest.mark.parametrize("name", RECORDED["reloads"])
def test_a_reload_takes_what_is_recorded(name: str, deployment: Deployment) -> None:
    """What holds after SIGHUP, what waits for the next start, and what is refused."""
    case, base = RECORDED["reloads"][name], BASES["settings"]
    found = deployment.reload(base, case)
    assert as_recorded(found) == case["gives"]


@pytest.mark.parametrize("name", RECORDED["commands"])
def test_a_command_ends_by_its_error_as_recorded(name: str, deployment: Deployment) -> None:
    """Exit status and output of a process that cannot start."""
    case = RECORDED["commands"][name]
    deployment.write_odd_files()
    assert deployment.run(case["command"], BASES["settings"], BASES["scenario"]) == case["gives"]


def test_the_recording_is_not_written_over(capsys: pytest.CaptureFixture[str]) -> None:
    """It says what the code did before it was reorganised."""
    before = DATA.read_bytes()
    assert main() == 1
    assert DATA.read_bytes() == before
    assert "never made again" in capsys.readouterr().err
