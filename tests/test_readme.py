"""The example in the README runs and sends its request."""

import contextlib
import io
import re
from pathlib import Path

README = Path(__file__).resolve().parent.parent / "README.md"


def test_readme_example_sends_its_request() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, str(README), "exec"), {})
    assert "SendAttempt(request_id='a', node_id=11)" in printed.getvalue()
