"""Names that leave the process are still in the code: peers, settings and stored data depend on them."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NAMES = (Path(__file__).parent / "outer_names.txt").read_text().splitlines()


def texts_of(source: str) -> list[str]:
    """Return the string and bytes literals of a module, without docstrings and texts of raised errors."""
    tree = ast.parse(source)
    ignored: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Raise):
            ignored.update(id(part) for part in ast.walk(node))
        elif isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            ignored.add(id(node.value))
    literals = [
        node.value for node in ast.walk(tree) if isinstance(node, ast.Constant) and id(node) not in ignored
    ]
    return [
        literal.decode("latin-1") if isinstance(literal, bytes) else literal
        for literal in literals
        if isinstance(literal, str | bytes)
    ]


def names_in(texts: list[str]) -> set[str]:
    """Return each text, without spaces and separators at its ends, and the words of each text."""
    names: set[str] = set()
    for text in texts:
        stripped = text.strip()
        names.update([stripped, stripped.rstrip("="), stripped.rstrip(":")])
        names.update(re.findall(r"[\w.-]+", text))
    return names


def missing_names(texts: list[str]) -> list[str]:
    return sorted(set(NAMES) - names_in(texts))


def program_texts() -> list[str]:
    paths = sorted((ROOT / "cleatyoke").rglob("*.py"))
    return [text for path in paths for text in texts_of(path.read_text())]


def test_each_listed_name_is_in_the_code() -> None:
    assert missing_names(program_texts()) == []


def test_a_renamed_name_is_reported() -> None:
    """The check itself can fail: without the literals of one name, that name is reported."""
    texts = program_texts()
    for name in ("StageState", "replica.lacks", "RELAY_DISCOVERY", "grant"):
        changed = [re.sub(rf"\b{re.escape(name)}\b", "renamed", text) for text in texts]
        assert missing_names(changed) == [name]


def test_each_name_is_listed_once() -> None:
    assert len(NAMES) == len(set(NAMES)) > 600
    assert all(name == name.strip() != "" for name in NAMES)
