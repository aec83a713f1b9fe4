"""Reading settings gives the recorded values and errors."""

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
WHOLE_DEPLOYMENTS = {
    "all given": ("settings", "fronts"),
    "least given": ("least settings", "least fronts"),
    "no fronts file": ("least settings", "none"),
    "as shipped": ("settings", "shipped fronts"),
}


@pytest.fixture
def deployment(tmp_path: Path) -> Deployment:
    """A deployment with its files in a temporary folder."""
    return Deployment(tmp_path)


def as_recorded(value: Any) -> Any:
    """Return the value after a round trip through JSON."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("name", WHOLE_DEPLOYMENTS)
def test_whole_deployment_is_read_as_recorded(name: str, deployment: Deployment) -> None:
    """Every setting, with the defaults of absent keys."""
    settings, fronts = WHOLE_DEPLOYMENTS[name]
    found = deployment.read(BASES[settings], BASES.get(fronts))
    assert as_recorded(found) == RECORDED["whole"][name]


@pytest.mark.parametrize("name", RECORDED["whole scenarios"])
def test_whole_scenario_is_read_as_recorded(name: str, deployment: Deployment) -> None:
    """Every value of the scenario, and the settings that it generates for its fronts."""
    assert as_recorded(deployment.read_scenario(BASES[name])) == RECORDED["whole scenarios"][name]


def test_shipped_fronts_file_has_recorded_keys_and_values() -> None:
    """Copies of the file that operators made remain valid."""
    assert tomllib.loads(adapter.SHIPPED_FRONTS.read_text()) == BASES["shipped fronts"]


@pytest.mark.parametrize("key", RECORDED["settings by key"])
def test_wrong_settings_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of the JSON settings is absent, of a wrong type or out of range."""
    check_cases("settings", key, deployment)


@pytest.mark.parametrize("key", RECORDED["fronts by key"])
def test_wrong_fronts_files_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of the fronts file is absent, of a wrong type or out of range."""
    check_cases("fronts", key, deployment)


@pytest.mark.parametrize("key", RECORDED["scenario by key"])
def test_wrong_scenarios_give_the_recorded_errors(key: str, deployment: Deployment) -> None:
    """A key of a scenario file is absent, of a wrong type or out of range."""
    check_cases("scenario", key, deployment)


def check_cases(name: str, key: str, deployment: Deployment) -> None:
    """Check that each recorded change of one key has the recorded outcome."""
    base, cases = BASES[name], RECORDED[f"{name} by key"][key]

    def read(values: dict[str, Any]) -> dict[str, Any]:
        if name == "scenario":
            return deployment.read_scenario(values)
        return deployment.read(values) if name == "settings" else deployment.read(BASES["settings"], values)

    unchanged = read(base)
    given = [{name: value for name, value in case.items() if name != "gives"} for case in cases]
    actual = [
        {**case, "gives": as_recorded(outcome(unchanged, read(changed(base, [case]))))} for case in given
    ]
    # Compared as JSON text, as NaN, one of the values, does not equal itself.
    assert [json.dumps(case) for case in actual] == [json.dumps(case) for case in cases]


@pytest.mark.parametrize("name", RECORDED["environments"])
def test_environment_variables_have_recorded_outcome(name: str, deployment: Deployment) -> None:
    """A variable overrides the file or is invalid."""
    case, base = RECORDED["environments"][name], BASES["settings"]
    deployment.write_invalid_files()
    found = deployment.read(base, None, case["variables"])
    assert as_recorded(outcome(deployment.read(base), found)) == case["gives"]


def test_environment_variables_replace_absent_keys(deployment: Deployment) -> None:
    """Addresses and the name may be set by variables only."""
    case = RECORDED["environment alone"]
    found = deployment.read(case["settings"], None, case["variables"])
    assert as_recorded(outcome(deployment.read(BASES["settings"]), found)) == case["gives"]


@pytest.mark.parametrize("case", RECORDED["texts for a fronts file"], ids=lambda case: repr(case["text"]))
def test_fronts_file_text_has_recorded_outcome(case: dict[str, str], deployment: Deployment) -> None:
    """The error for invalid TOML names the line."""
    assert deployment.fronts_text(BASES["settings"], case["text"]) == case["gives"]


@pytest.mark.parametrize("name", RECORDED["reloads"])
def test_reload_applies_what_is_recorded(name: str, deployment: Deployment) -> None:
    """Settings that are in force after SIGHUP, that wait for the next start, and that are rejected."""
    case, base = RECORDED["reloads"][name], BASES["settings"]
    found = deployment.reload(base, case)
    assert as_recorded(found) == case["gives"]


@pytest.mark.parametrize("name", RECORDED["commands"])
def test_command_exits_with_recorded_error(name: str, deployment: Deployment) -> None:
    """Exit status and output of a process whose settings are invalid."""
    case = RECORDED["commands"][name]
    deployment.write_invalid_files()
    assert deployment.run(case["command"], BASES["settings"], BASES["scenario"]) == case["gives"]


def test_recording_is_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    """The recording is of the code before its reorganisation, so it cannot be made again."""
    before = DATA.read_bytes()
    assert main() == 1
    assert DATA.read_bytes() == before
    assert "never overwritten" in capsys.readouterr().err
