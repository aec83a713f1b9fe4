"""Runs the Python example of the README."""

import contextlib
import io
import re
from pathlib import Path

README = Path(__file__).resolve().parent.parent / "README.md"


def test_readme_example_sends_its_request() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(code, str(README), "exec"), {})
    assert "SendAttempt(request_id='a', node_id=11)" in output.getvalue()
