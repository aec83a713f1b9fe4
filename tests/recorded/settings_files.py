"""Writes settings files with changed values and reads them through the adapter: no project names here."""

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
FOLDER = "FOLDER"  # replaces the path of the temporary folder in recorded texts

Change = dict[str, Any]  # ``path``: keys and list indexes; ``value``: the new value, absent to delete the key


def changed(base: dict[str, Any], changes: list[Change]) -> dict[str, Any]:
    """Return a copy of ``base`` with the changes applied."""
    out = copy.deepcopy(base)
    for change in changes:
        *parents, last = change["path"]
        container: Any = out
        for key in parents:
            container = container[key]
        if "value" in change:
            container[last] = change["value"]
        else:
            del container[last]
    return out


def toml_text(values: dict[str, Any]) -> str:
    """Return ``values`` as the text of a TOML file, with one line per top-level key."""
    return "".join(f"{json.dumps(key)} = {toml_value(value)}\n" for key, value in values.items())


def toml_value(value: Any) -> str:
    """Return one value in TOML syntax; tables are written inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {toml_value(item)}" for key, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    if isinstance(value, bool | str):
        return json.dumps(value)
    return repr(value)


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return the leaves of nested dicts and lists by their paths."""
    if isinstance(value, dict) and value:
        items = [(str(key), one) for key, one in value.items()]
    elif isinstance(value, list) and value:
        items = [(str(index), one) for index, one in enumerate(value)]
    else:
        return {path: value}
    out: dict[str, Any] = {}
    for key, one in items:
        out |= flatten(one, f"{path}/{key}" if path else key)
    return out


def difference(base: Any, actual: Any) -> dict[str, Any]:
    """Return the values that differ from ``base`` by path, and under ``gone`` the missing paths."""
    old, new = flatten(base), flatten(actual)
    out: dict[str, Any] = {
        path: value
        for path, value in sorted(new.items())
        if path not in old or (type(value), value) != (type(old[path]), old[path])
    }
    if missing := sorted(old.keys() - new.keys()):
        out["gone"] = missing
    return out


def write(path: Path, text: str) -> None:
    """Create the file anew: truncating and rewriting a file waits for the disk on some systems."""
    path.unlink(missing_ok=True)
    path.write_text(text)


class Deployment:
    """The settings files of one deployment in a folder, and the results of reading them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.settings, self.fronts = folder / "settings.json", folder / "fronts.toml"

    def environment(
        self, settings: dict[str, Any], variables: dict[str, str] | None = None
    ) -> dict[str, str]:
        """Write the settings; return the environment for them, with ``FOLDER`` in values replaced."""
        write(self.settings, json.dumps(settings))
        given = {"RELAY_CONFIG": str(self.settings), **(variables or {})}
        return {name: text.replace(FOLDER, str(self.folder)) for name, text in given.items()}

    def neutral(self, text: str) -> str:
        """Return the text without the folder's path and wording that varies by Python version."""
        for program, recorded in adapter.RECORDED_PROGRAMS.items():
            text = text.replace(program, recorded)
        return re.sub(RECURSION, r"\1", text.replace(str(self.folder), FOLDER))

    def read(
        self,
        settings: dict[str, Any],
        fronts: dict[str, Any] | None = None,
        variables: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Return the values read, or the error's whole text. ``fronts``: None for no fronts file."""
        if fronts is None:
            self.fronts.unlink(missing_ok=True)
        else:
            write(self.fronts, toml_text(fronts))
        try:
            return {"read": adapter.read_deployment(self.environment(settings, variables), self.fronts)}
        except adapter.InvalidSettingsError as error:
            return {"error": self.neutral(str(error))}

    def reload(self, settings: dict[str, Any], case: dict[str, Any]) -> dict[str, Any]:
        """Return the result of a reload and the settings that it changed, or the error's whole text."""
        before = self.environment(settings)
        later = Deployment(self.folder / "later")
        later.folder.mkdir(exist_ok=True)
        after = later.environment(changed(settings, case["changes"]), case.get("variables"))
        if "fronts" in case:
            write(later.fronts, toml_text(case["fronts"]))
        try:
            result = adapter.reload_deployment(before, self.fronts, after, later.fronts)
            base = adapter.read_deployment(before, self.fronts)
        except adapter.InvalidSettingsError as error:
            return {"error": later.neutral(str(error))}
        return {**result, "holds": difference(base, result["holds"])}

    def fronts_text(self, settings: dict[str, Any], text: str) -> str:
        """Return the error for a fronts file with this text, or ``accepted``."""
        write(self.fronts, text)
        try:
            adapter.read_deployment(self.environment(settings), self.fronts)
        except adapter.InvalidSettingsError as error:
            return self.neutral(str(error))
        return "accepted"

    def write_invalid_files(self) -> None:
        """Write files that are no valid settings or epoch files."""
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
        """Return the values of a scenario file and the settings it generates, or the error's whole text."""
        path = self.folder / "drill.toml"
        write(path, toml_text(values))
        try:
            scenario, settings = adapter.read_test_scenario(path)
        except adapter.InvalidSettingsError as error:
            return {"error": self.neutral(str(error))}
        return {"read": scenario, "settings": settings}


def outcome(base: dict[str, Any], result: dict[str, Any]) -> Any:
    """Return the error's text, or ``accepted`` with the values that differ from the result for ``base``."""
    return result["error"] if "error" in result else {"accepted": difference(base["read"], result["read"])}


def run_module(
    module: str, arguments: list[str], variables: dict[str, str], deployment: Deployment
) -> dict[str, Any]:
    """Run ``python -m module`` and return its exit status and output."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            module,
            *(argument.replace(FOLDER, str(deployment.folder)) for argument in arguments),
        ],
        cwd=ROOT,
        env={**inherited, "TMPDIR": str(deployment.folder), **variables},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return {
        "status": process.returncode,
        "output": deployment.neutral(process.stdout).splitlines(),
        "errors": deployment.neutral(process.stderr).splitlines(),
    }
