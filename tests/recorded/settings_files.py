"""Files of settings with some values changed, and what reading them gives: no project names here."""

from __future__ import annotations

import copy
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.recorded import settings_adapter as adapter

ROOT = Path(__file__).resolve().parents[2]
DATA = Path(__file__).resolve().parent / "data" / "settings.json"
RECURSION = r"(maximum recursion depth exceeded).*"
FOLDER = "FOLDER"  # stands for the temporary folder in recorded texts

Change = dict[str, Any]  # ``path``: keys and places; ``value``: the new value, absent to delete the key


def changed(base: dict[str, Any], changes: list[Change]) -> dict[str, Any]:
    """A copy of ``base`` with the changes made."""
    out = copy.deepcopy(base)
    for change in changes:
        *way, last = change["path"]
        place: Any = out
        for key in way:
            place = place[key]
        if "value" in change:
            place[last] = change["value"]
        else:
            del place[last]
    return out


def toml_text(values: dict[str, Any]) -> str:
    """``values`` as a TOML file, each top-level key on a line of its own."""
    return "".join(f"{json.dumps(key)} = {toml_value(value)}\n" for key, value in values.items())


def toml_value(value: Any) -> str:
    """One value as TOML writes it; tables are written inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {toml_value(one)}" for key, one in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(one) for one in value) + "]"
    if isinstance(value, bool | str):
        return json.dumps(value)
    return repr(value)


def flat(value: Any, path: str = "") -> dict[str, Any]:
    """The leaves of nested dicts and lists, by their paths."""
    if isinstance(value, dict) and value:
        items = [(str(key), one) for key, one in value.items()]
    elif isinstance(value, list) and value:
        items = [(str(place), one) for place, one in enumerate(value)]
    else:
        return {path: value}
    out: dict[str, Any] = {}
    for key, one in items:
        out |= flat(one, f"{path}/{key}" if path else key)
    return out


def difference(base: Any, found: Any) -> dict[str, Any]:
    """What ``found`` has otherwise than ``base``: new values by path, and the paths that are gone."""
    old, new = flat(base), flat(found)
    out: dict[str, Any] = {
        path: value
        for path, value in sorted(new.items())
        if path not in old or (type(value), value) != (type(old[path]), old[path])
    }
    if gone := sorted(old.keys() - new.keys()):
        out["gone"] = gone
    return out


def write(path: Path, text: str) -> None:
    """Make the file anew: where an old one is cut short and filled again, some systems wait for the disk."""
    path.unlink(missing_ok=True)
    path.write_text(text)


class Deployment:
    """The files of one deployment in a folder, and what reading them gives."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.settings, self.fronts = folder / "settings.json", folder / "fronts.toml"

    def environment(
        self, settings: dict[str, Any], variables: dict[str, str] | None = None
    ) -> dict[str, str]:
        """Write the settings; the variables that lead to them. ``FOLDER`` in a value is the real one."""
        write(self.settings, json.dumps(settings))
        given = {"RELAY_CONFIG": str(self.settings), **(variables or {})}
        return {name: text.replace(FOLDER, str(self.folder)) for name, text in given.items()}

    def neutral(self, text: str) -> str:
        """The text without the folder's own name, and without what Python versions word differently."""
        for program, recorded in adapter.RECORDED_PROGRAMS.items():
            text = text.replace(program, recorded)
        return re.sub(RECURSION, r"\1", text.replace(str(self.folder), FOLDER))

    def read(
        self,
        settings: dict[str, Any],
        fronts: dict[str, Any] | None = None,
        variables: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """What is read, or the error's whole text. ``fronts``: None where there is no such file."""
        if fronts is None:
            self.fronts.unlink(missing_ok=True)
        else:
            write(self.fronts, toml_text(fronts))
        try:
            return {"read": adapter.read_deployment(self.environment(settings, variables), self.fronts)}
        except adapter.Refused as error:
            return {"error": self.neutral(str(error))}

    def reload(self, settings: dict[str, Any], case: dict[str, Any]) -> dict[str, Any]:
        """What a reload takes, and what holds otherwise than before, or the error's whole text."""
        before = self.environment(settings)
        other = Deployment(self.folder / "later")
        other.folder.mkdir(exist_ok=True)
        after = other.environment(changed(settings, case["changes"]), case.get("variables"))
        if "fronts" in case:
            write(other.fronts, toml_text(case["fronts"]))
        try:
            found = adapter.reload_deployment(before, self.fronts, after, other.fronts)
            base = adapter.read_deployment(before, self.fronts)
        except adapter.Refused as error:
            return {"error": other.neutral(str(error))}
        return {**found, "holds": difference(base, found["holds"])}

    def fronts_text(self, settings: dict[str, Any], text: str) -> str:
        """The error that this text as a fronts file gives, or ``accepted``."""
        write(self.fronts, text)
        try:
            adapter.read_deployment(self.environment(settings), self.fronts)
        except adapter.Refused as error:
            return self.neutral(str(error))
        return "accepted"

    def write_odd_files(self) -> None:
        """Files beside the settings that are no settings."""
        (self.folder / "text.json").write_text("{'name'}")
        (self.folder / "list.json").write_text("[1]")
        (self.folder / "epoch").write_text("yesterday")
        (self.folder / "deep.json").write_text("[" * 100_000)

    def run(
        self, command: dict[str, Any], settings: dict[str, Any], scenario: dict[str, Any]
    ) -> dict[str, Any]:
        """Write a command's files, run it, and return its status and output."""
        variables: dict[str, str] = {}
        if command.get("changes") is not None:
            variables = self.environment(changed(settings, command["changes"]))
        if "scenario" in command:
            (self.folder / "drill.toml").write_text(toml_text(changed(scenario, command["scenario"])))
        self.fronts.write_text(toml_text(command.get("fronts", {})))
        return run_module(adapter.MODULES[command["program"]], command["arguments"], variables, self)

    def read_scenario(self, values: dict[str, Any]) -> dict[str, Any]:
        """What a scenario file says, or the error's whole text."""
        path = self.folder / "drill.toml"
        write(path, toml_text(values))
        try:
            found, settings = adapter.read_test_scenario(path)
        except adapter.Refused as error:
            return {"error": self.neutral(str(error))}
        return {"read": found, "settings": settings}


def outcome(base: dict[str, Any], found: dict[str, Any]) -> Any:
    """The error's text, or ``accepted`` with what is read otherwise than in ``base``, which was read too."""
    return found["error"] if "error" in found else {"accepted": difference(base["read"], found["read"])}


def run_module(
    module: str, arguments: list[str], variables: dict[str, str], deployment: Deployment
) -> dict[str, Any]:
    """Exit status and output of ``python -m module``."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    ended = subprocess.run(
        [sys.executable, "-m", module, *(word.replace(FOLDER, str(deployment.folder)) for word in arguments)],
        cwd=ROOT,
        env={**kept, "TMPDIR": str(deployment.folder), **variables},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return {
        "status": ended.returncode,
        "output": deployment.neutral(ended.stdout).splitlines(),
        "errors": deployment.neutral(ended.stderr).splitlines(),
    }
