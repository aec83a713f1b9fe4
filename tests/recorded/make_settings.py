"""Writes the recording of settings and their errors: ``python -m tests.recorded.make_settings``.

Never overwrites an existing recording.
"""

from __future__ import annotations

import json
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from tests.recorded import settings_adapter as adapter
from tests.recorded.settings_files import DATA, FOLDER, Change, Deployment, changed, outcome

GENERIC: list[Any] = [True, "x", "", -1, 0, 1, 1.5, [], {}, ["x"]]
ONLY_JSON: list[Any] = [None, float("inf"), float("nan"), [{}]]
ONLY_TOML: list[Any] = [float("inf"), float("nan")]
ADDRESSES: list[Any] = ["h", ":80", "h:", "h:x", "h:-1", "h:65535", "h:65536", "[::1]:80", "::1:80", "h:0"]

SETTINGS: dict[str, Any] = {
    "name": "front-1",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "ops": "127.0.0.1:8081",
    "seed": "ff",
    "known": {"version": 3, "instances": []},
    "limits": {"sockets": 512, "memory_mb": 100},
    "settings": {
        "Areas": ["basement", "second-floor"],
        "Contracts": [
            {
                "Name": "public",
                "BaseRate": 8.0,
                "FloorRate": 4.0,
                "Limit": 20.0,
                "LimitBurst": 30.0,
                "CapSlack": 4.0,
                "Proportion": 1.0,
                "WorthFactor": 1.25,
            },
            {"Name": "research", "Proportion": 2, "WorthFactor": 1},
        ],
        "Lanes": [
            {
                "Name": "tile-read",
                "AimS": 0.5,
                "GiveUpS": 1.5,
                "Repeat": "repeatable",
                "Worth": 3.0,
                "LateShare": 0.1,
                "DedupScope": "zone",
                "MemorySpanS": 5.0,
                "ByArrival": True,
            },
            {"Name": "record-write", "AimS": 0.4, "Repeat": "once", "Worth": 2.0},
            {
                "Name": "note",
                "AimS": 0.3,
                "GiveUpS": 2.5,
                "Repeat": "by_key",
                "Worth": 1.5,
                "DedupScope": "cell",
            },
        ],
        "PolicyLimits": {
            "Cancel": True,
            "SendCap": 4,
            "DialTimeoutS": 0.2,
            "IdleCloseS": 20.0,
            "Probes": True,
            "RetryAfter": True,
            "MaxRetryAfterS": 5.0,
        },
        "Report": {"How": "probe", "Fields": ["queue", "util"]},
        "Safety": {
            "ColdFrom": 0.2,
            "RampTimeS": 10.0,
            "StopSendingWithinS": 0.8,
            "TipMultiple": 2.0,
            "TipAfterS": 1.0,
            "AskEveryS": 6.0,
            "KeyRestS": 0.1,
            "FreeResends": 12.0,
            "ExtraRatio": 0.2,
            "LookBackS": 9.0,
        },
        "Extra": {
            "ColdUnits": 24.0,
            "Largest": 6.0,
            "MeanUnits": 2.5,
            "WithinShare": 0.35,
            "SaysOthers": True,
            "ChangesData": [False, True, True],
            "Shards": 9,
        },
        "Siblings": 3,
        "Discovery": "subscribe",
    },
}
LEAST_SETTINGS: dict[str, Any] = {
    "name": "front-1",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "settings": {
        "Contracts": [{"Name": "public", "Proportion": 1.0, "WorthFactor": 1.0}],
        "Lanes": [{"Name": "tile-read", "AimS": 0.5, "Repeat": "repeatable", "Worth": 3.0}],
        "PolicyLimits": {"SendCap": 4},
    },
}
LEAST_FRONTS: dict[str, Any] = {
    "sftp": {
        "enabled": True,
        "listen": "127.0.0.1:2022",
        "volume": [{"path": "/plats", "volume": "21", "plan": "public", "shard": 0}],
    },
    "vrrp": {
        "enabled": True,
        "listen": "127.0.0.1:3112",
        "peers": ["127.0.0.2:3112"],
        "router": 1,
        "addresses": ["127.0.0.1"],
    },
    "metrics": {"enabled": True, "listen": "127.0.0.1:9464"},
    "fleet": {"enabled": True, "deployment": "d", "listen": "127.0.0.1:7946", "seeds": []},
    "distribution": {"enabled": True, "deployment": "d", "relays": ["127.0.0.2:7951"]},
}
SCENARIO: dict[str, Any] = {
    "fleet": {
        "fronts": 4,
        "boxes": 6,
        "seconds": 12,
        "seed": 7,
        "zones": ["east", "west"],
        "deadline_s": 1.2,
        "limit": 20,
    },
    "load": {
        "rate": 60,
        "writes": 0.3,
        "volumes": 20,
        "hosts": 2,
        "hot": 0.1,
        "units": 2,
        "units_most": 4,
        "fresh": 0.2,
        "reread": 0.1,
        "skew": 0.5,
        "skew_s": 5,
        "surge_at": 3,
        "surge_s": 2,
        "surge": 3,
        "retries": 2,
        "retry_s": 0.4,
    },
    "box": {
        "units": 50,
        "queue": 20,
        "cold_from": 0.25,
        "ramp_s": 5,
        "tip_multiple": 3,
        "tip_after_s": 1.5,
    },
    "class": [
        {
            "name": "tile-read",
            "share": 3,
            "aim_s": 0.25,
            "deadline_s": 2.0,
            "worth": 3,
            "late": 0.2,
            "repeat": "repeatable",
            "scope": "all",
            "memory_s": 4,
            "write": False,
        },
        {"name": "note", "repeat": "by_key", "scope": "zone", "write": True},
        {"name": "record-write", "repeat": "once", "scope": "cell", "write": True},
    ],
    "plan": [
        {
            "name": "public",
            "rate": 9,
            "reserve": 5,
            "weight": 2,
            "worth": 1.5,
            "limit": 12,
            "burst": 15,
            "slack": 3,
        },
        {"name": "research", "limit": 7},
    ],
    "terms": {
        "attempts": 3,
        "drain_grace_s": 0.9,
        "cancel": False,
        "report": "probe",
        "probes": True,
        "dial_s": 0.3,
        "idle_s": 25,
        "retry_after_s": 4,
    },
    "view": {
        "enabled": True,
        "period_s": 0.3,
        "settles_s": 8,
        "seeds": [0, 1],
        "limits": True,
        "cold": True,
        "durable": True,
    },
    "trouble": [
        {"kind": "slow", "at": 1, "of": [2], "over_s": 0.5, "lasts_s": 2, "share": 0.5},
        {
            "kind": "links",
            "at": 2,
            "of": [0],
            "to": [3],
            "one_way": True,
            "cut": True,
            "loss": 0.1,
            "doubles": 0.2,
            "garbles": 0.3,
            "delay_s": 0.01,
            "jitter_s": 0.02,
            "lasts_s": 1,
        },
        {"kind": "hold", "at": 3, "of": [1], "box": 2, "lasts_s": 4},
        {"kind": "drain", "at": 4, "zone": "west"},
    ],
}
LEAST_SCENARIO: dict[str, Any] = {"fleet": {"fronts": 4, "boxes": 6, "seconds": 12}, "load": {"rate": 60}}

# Values that are tried in addition to the generic ones, by the last key of a path.
SPECIAL_SETTINGS: dict[str, list[Any]] = {
    "listen": ADDRESSES,
    "discovery": ADDRESSES,
    "ops": ADDRESSES,
    "seed": ["0", "00ff", "0x1f", "-1", "g", "10000000000000000"],
    "sockets": [111, 112, 1 << 20, (1 << 20) + 1],
    "memory_mb": [8, 9, 64, 0.5],
    "Repeat": ["once", "by_key", "REPEATABLE"],
    "DedupScope": ["all", "zone", "cell", "Zone"],
    "SendCap": [1000, 1001, 4.0],
    "How": ["probe", "answers", "none"],
    "Fields": [["cpu"], ["queue"], ["util", "cpu"]],
    "Discovery": ["list", "subscribe"],
    "Shards": [1 << 31, (1 << 31) + 1],
    "Siblings": [2.9, 1000],
    "ChangesData": [[True], [0, 1, "x"]],
    "Name": ["tile-read", "public"],
}
SPECIAL_FRONTS: dict[str, list[Any]] = {
    "listen": ADDRESSES,
    "advertise": ADDRESSES,
    "relays": [["h"], ["h:1", 2], ["h:1", "i:2"], ["h:65536"]],
    "others": [["h"], ["h:1", 2], ["h:1", "i:2"]],
    "peers": [["h"], ["h:1", 2], ["h:1", "i:2"]],
    "seeds": [["h"], ["h:1", 2], ["h:1", "i:2"]],
    "addresses": [["10.0.0.1", "10.0.0.2"], ["10.0.0.1", 2]],
    "path": ["plats", "/", "/plats/", "//plats", "/a/b"],
    "volume": ["g", "0x1f", "ff", [{"path": "/a", "volume": "1", "plan": "research", "shard": -1}]],
    "plan": ["research", "Public"],
    "read_class": ["note", "record-write"],
    "write_class": ["note", "tile-read"],
    "shard": [-2, 1 << 31, (1 << 31) + 1],
    "hosts": [1 << 16, (1 << 16) + 1],
    "box_port": [65535, 65536],
    "most_upload": [65536, 65537],
    "unit_bytes": [65536, 65537],
    "most_handles": [1024, 1025],
    "router": [255, 256],
    "priority": [255, 256],
    "interval_cs": [4095, 4096],
    "deployment": ["d" * 64, "d" * 65],
    "boot": [(1 << 53) - 1, 1 << 53],
    "durable": ["var/durable", "/var/durable"],
    "period_s": [0.15, 0.009, 0.01, 3600, 3601],
    "answer_s": [0.5, 0.49, 0.009],
    "gossip_s": [0.5, 0.49, 0.009],
    "sync_s": [0.009, 3600, 3601],
    "departed_s": [0.009, 3600, 3601],
    "join_s": [0.009, 3600, 3601],
    "poll_s": [0.09, 0.1, 60, 61],
    "bytes_s": [499, 500, 1e9, 1.1e9],
}
SPECIAL_SCENARIO: dict[str, list[Any]] = {
    "fronts": [1024, 1025, 2],
    "boxes": [1024, 1025],
    "zones": [["one"], [1, 2]],
    "seed": [1 << 31, (1 << 31) + 1],
    "units": [4, 64, 65],
    "units_most": [2, 64, 65],
    "volumes": [4096, 4097],
    "hosts": [4, 5],
    "retries": [99, 100],
    "queue": [4096, 4097],
    "repeat": ["once", "by_key", "free"],
    "scope": ["all", "zone", "cell", "keyed"],
    "report": ["answers", "probe", "none"],
    "attempts": [16, 17],
    "seeds": [[3], [4], [-1]],
    "of": [[0, 3], [6], [-1]],
    "to": [[0, 3], [4]],
    "kind": ["roll", "replace", "late_lists", "hold", "links", "explode"],
    "zone": ["east", "north"],
    "box": [5, 6],
}


def paths_in(values: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all keys in nested dicts and lists of dicts; list indexes are not keys."""
    if isinstance(values, dict):
        for key, value in values.items():
            yield (*path, key)
            yield from paths_in(value, (*path, key))
    elif isinstance(values, list):
        for index, value in enumerate(values):
            yield from paths_in(value, (*path, index))


def tables_in(values: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all tables, beginning with the root."""
    if isinstance(values, dict):
        yield path
        for key, value in values.items():
            yield from tables_in(value, (*path, key))
    elif isinstance(values, list):
        for index, value in enumerate(values):
            yield from tables_in(value, (*path, index))


def wrong_values(
    base: dict[str, Any], special: dict[str, list[Any]], generic: list[Any]
) -> dict[str, list[Change]]:
    """Return the changes to try by key: the key is absent, or has each generic and each special value.

    Each table also gets an unknown key.
    """
    out: dict[str, list[Change]] = {}
    for path in paths_in(base):
        if path[:1] == ("known",) and len(path) > 1:
            continue  # discovery reads the contents, not the settings reader
        values = [*generic, *special.get(str(path[-1]), [])]
        if path == ("known",):
            values = [
                value for value in values if value == value
            ]  # all are accepted; NaN is left out, as it equals no value
        changes: list[Change] = [{"path": list(path)}]
        changes += [{"path": list(path), "value": value} for value in values]
        out[".".join(map(str, path))] = changes
    for path in tables_in(base):
        if path[:1] != ("known",):
            key = (*path, "unheard")
            out[".".join(map(str, key))] = [{"path": list(key), "value": 1}]
    return out


def shipped_fronts() -> dict[str, Any]:
    """Return the repository's fronts file with every table enabled and every optional key set."""
    values = tomllib.loads(adapter.SHIPPED_FRONTS.read_text())
    for table in values.values():
        table["enabled"] = True
    values["fleet"]["advertise"] = "10.0.0.7:7946"
    values["fleet"]["durable"] = "/var/lib/front"
    values["fleet"]["limits"] = values["fleet"]["cold"] = values["distribution"]["nodes"] = True
    values["distribution"]["others"] = ["127.0.0.3:7951"]
    return values


def with_outcomes(
    wrong: dict[str, list[Change]], base: dict[str, Any], read: Callable[[dict[str, Any]], dict[str, Any]]
) -> dict[str, list[Change]]:
    """Return the changes, each with the outcome of reading the changed base."""
    unchanged = read(base)
    return {
        key: [{**change, "gives": outcome(unchanged, read(changed(base, [change])))} for change in changes]
        for key, changes in wrong.items()
    }


def environments() -> dict[str, dict[str, str]]:
    """Return environment variables by the name of their case."""
    cases = {
        "no path": {"RELAY_CONFIG": ""},
        "no file": {"RELAY_CONFIG": f"{FOLDER}/none.json"},
        "a folder": {"RELAY_CONFIG": FOLDER},
        "no JSON": {"RELAY_CONFIG": f"{FOLDER}/text.json"},
        "no object": {"RELAY_CONFIG": f"{FOLDER}/list.json"},
        "nested too deep": {"RELAY_CONFIG": f"{FOLDER}/deep.json"},
        "another name": {"RELAY_NAME": "front-9"},
        "empty name": {"RELAY_NAME": ""},
        "folder for short-lived files": {"TMPDIR": "/var/tmp/front"},
        "no folder for short-lived files": {"TMPDIR": ""},
    }
    for variable in ("RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_OPS"):
        for text in ("", *ADDRESSES):
            cases[f"{variable}={text}"] = {variable: text}
    for text in ("", "0", "7", "1048575", "1048576", "-1", "four", " 4", "4.0", "\u0664"):
        cases[f"RELAY_ACCEPT_FD={text}"] = {"RELAY_ACCEPT_FD": text}
    return cases


def reloads() -> dict[str, dict[str, Any]]:
    """Return changes of the settings, variables and fronts file between two reads, by case."""
    new_class = {"Name": "late-class", "AimS": 0.7, "Repeat": "repeatable", "Worth": 1.0, "GiveUpS": 2.0}
    in_settings: dict[str, list[Change]] = {
        "nothing": [],
        "a limit": [{"path": ["settings", "Contracts", 0, "Limit"], "value": 40.0}],
        "a drain's seconds": [{"path": ["settings", "Safety", "StopSendingWithinS"], "value": 0.4}],
        "a class more": [
            {"path": ["settings", "Lanes"], "value": [*SETTINGS["settings"]["Lanes"], new_class]}
        ],
        "a class less": [{"path": ["settings", "Lanes", 1]}],
        "classes in another order": [
            {"path": ["settings", "Lanes"], "value": SETTINGS["settings"]["Lanes"][::-1]},
        ],
        "a plan less": [{"path": ["settings", "Contracts", 1]}],
        "a key less": [{"path": ["settings", "Safety", "KeyRestS"]}],
        "a table less": [{"path": ["settings", "Report"]}],
        "a wrong value": [{"path": ["settings", "PolicyLimits", "SendCap"], "value": 0}],
    }
    top_level: dict[str, Any] = {
        "name": "front-2",
        "listen": "127.0.0.1:8090",
        "discovery": "127.0.0.1:8501",
        "ops": "127.0.0.1:8091",
        "seed": "fe",
        "known": {"version": 4, "instances": []},
        "limits": {"sockets": 600, "memory_mb": 50},
    }
    in_settings |= {key: [{"path": [key], "value": value}] for key, value in top_level.items()}
    in_settings |= {
        key: [{"path": ["settings", "PolicyLimits", key], "value": 0.5}]
        for key in ("DialTimeoutS", "IdleCloseS")
    }
    out: dict[str, dict[str, Any]] = {name: {"changes": changes} for name, changes in in_settings.items()}
    out["a descriptor"] = {"changes": [], "variables": {"RELAY_ACCEPT_FD": "3"}}
    out["another folder"] = {"changes": [], "variables": {"TMPDIR": "/var/tmp/front"}}
    out["another discovery by variable"] = {"changes": [], "variables": {"RELAY_DISCOVERY": "h:1"}}
    out["all fronts"] = {"changes": [], "fronts": LEAST_FRONTS}
    out |= {f"front {key}": {"changes": [], "fronts": {key: value}} for key, value in LEAST_FRONTS.items()}
    return out


def commands() -> dict[str, dict[str, Any]]:
    """Return commands that exit because of an error in their settings, with the files to write before."""
    source = ["source", "--listen", "127.0.0.1:0", "--deployment", "d", "--folder", FOLDER]
    relay = ["relay", "--deployment", "d", "--name", "r"]
    fronts = ["--fronts", f"{FOLDER}/fronts.toml"]
    return {
        "daemon without a file": {"program": "daemon", "arguments": [], "changes": None},
        "daemon with a wrong class": {
            "program": "daemon",
            "arguments": fronts,
            "changes": [{"path": ["settings", "Lanes", 0, "AimS"], "value": 0}],
        },
        "daemon with a wrong fronts file": {
            "program": "daemon",
            "arguments": fronts,
            "changes": [],
            "fronts": {"sftp": {"enabled": 1}},
        },
        "daemon with wrong arguments": {"program": "daemon", "arguments": ["--front", "x"], "changes": []},
        "test fleet with a wrong scenario": {
            "program": "test fleet",
            "arguments": [f"{FOLDER}/drill.toml"],
            "scenario": [{"path": ["load", "rate"], "value": 0}],
        },
        "test fleet without a scenario": {"program": "test fleet", "arguments": []},
        "source without an epoch": {"program": "distribution", "arguments": source},
        "source with a wrong epoch": {
            "program": "distribution",
            "arguments": [*source, "--epoch", f"{FOLDER}/epoch"],
        },
        "relay with a wrong address": {
            "program": "distribution",
            "arguments": [*relay, "--listen", "h", "--upstream", "h:1"],
        },
        "relay with an unknown option": {"program": "distribution", "arguments": [*relay, "--poll", "1"]},
    }


def recording(folder: Path) -> dict[str, Any]:
    """Return the whole recording."""
    deployment = Deployment(folder)
    deployment.write_invalid_files()
    fronts = shipped_fronts()
    shipped = tomllib.loads(adapter.SHIPPED_FRONTS.read_text())
    out: dict[str, Any] = {
        "bases": {
            "settings": SETTINGS,
            "least settings": LEAST_SETTINGS,
            "fronts": fronts,
            "least fronts": LEAST_FRONTS,
            "shipped fronts": shipped,
            "scenario": SCENARIO,
            "least scenario": LEAST_SCENARIO,
        },
    }
    out["whole"] = {
        name: deployment.read(out["bases"][settings], out["bases"].get(front))
        for name, (settings, front) in {
            "all given": ("settings", "fronts"),
            "least given": ("least settings", "least fronts"),
            "no fronts file": ("least settings", "none"),
            "as shipped": ("settings", "shipped fronts"),
        }.items()
    }
    out["whole scenarios"] = {
        name: deployment.read_scenario(out["bases"][name]) for name in ("scenario", "least scenario")
    }
    for name, base, special, generic, read in (
        ("settings", SETTINGS, SPECIAL_SETTINGS, [*GENERIC, *ONLY_JSON], deployment.read),
        ("fronts", fronts, SPECIAL_FRONTS, [*GENERIC, *ONLY_TOML], partial(deployment.read, SETTINGS)),
        ("scenario", SCENARIO, SPECIAL_SCENARIO, [*GENERIC, *ONLY_TOML], deployment.read_scenario),
    ):
        out[f"{name} by key"] = with_outcomes(wrong_values(base, special, generic), base, read)
    unchanged = deployment.read(SETTINGS)
    out["environments"] = {
        name: {"variables": given, "gives": outcome(unchanged, deployment.read(SETTINGS, None, given))}
        for name, given in environments().items()
    }
    without_addresses = changed(
        SETTINGS, [{"path": ["ops"]}, {"path": ["name"]}, {"path": ["listen"]}, {"path": ["discovery"]}]
    )
    given = {"RELAY_NAME": "n", "RELAY_LISTEN": "h:1", "RELAY_DISCOVERY": "h:2", "RELAY_OPS": "h:3"}
    out["environment alone"] = {
        "settings": without_addresses,
        "variables": given,
        "gives": outcome(unchanged, deployment.read(without_addresses, None, given)),
    }
    out["texts for a fronts file"] = [
        {"text": text, "gives": deployment.fronts_text(SETTINGS, text)}
        for text in (
            "[sftp",
            "[sftp]\nenabled = yes\n",
            "a = 1\na = 2\n",
            "",
            "[metrics]\nenabled = false\nodd = 1\n",
        )
    ]
    out["reloads"] = {
        name: {**case, "gives": deployment.reload(SETTINGS, case)} for name, case in reloads().items()
    }
    out["commands"] = {
        name: {"command": command, "gives": deployment.run(command, SETTINGS, SCENARIO)}
        for name, command in commands().items()
    }
    return out


def main() -> int:
    """Write the recording; return 1 if it already exists."""
    if DATA.exists():
        print(f"{DATA.name} already exists; recordings are never overwritten", file=sys.stderr)
        return 1
    with tempfile.TemporaryDirectory() as folder:
        values = recording(Path(folder))
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_text(compact(values) + "\n")
    return 0


def compact(values: dict[str, Any]) -> str:
    """Return JSON text with one line per case, so that differences are readable."""
    parts = []
    for name, value in values.items():
        if isinstance(value, dict):
            lines = []
            for key, one in value.items():
                if name.endswith("by key"):
                    text = "[\n   " + ",\n   ".join(json.dumps(case) for case in one) + "\n  ]"
                else:
                    text = json.dumps(one)
                lines.append(f"  {json.dumps(key)}: {text}")
            parts.append(f" {json.dumps(name)}: {{\n" + ",\n".join(lines) + "\n }")
        else:
            parts.append(f" {json.dumps(name)}: {json.dumps(value)}")
    return "{\n" + ",\n".join(parts) + "\n}"


if __name__ == "__main__":
    sys.exit(main())
