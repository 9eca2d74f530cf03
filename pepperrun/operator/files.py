"""Reads operators' files as JSON or YAML. The content decides which of the two, not the file's name."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import yaml

from pepperrun.foundation.errors import PepperrunError

STEP = "reading a file"


def read_as_json(path: str) -> bytes:
    """Returns a configuration or a change as a request body: JSON unchanged, YAML converted to JSON.

    Raises PepperrunError `no-file`.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise PepperrunError("no-file", STEP, f"{path}: {error.strerror or error}") from None
    try:
        json.loads(data)
    except ValueError:
        return json.dumps(load_yaml(path)).encode()
    return data


def load_yaml(path: str) -> Any:
    """Returns the content of a YAML or JSON file (JSON is valid YAML). Raises PepperrunError `no-file`."""
    try:
        return yaml.safe_load(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise PepperrunError("no-file", STEP, f"{path}: {error}") from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        position = f", line {mark.line + 1}" if mark is not None else ""
        problem = str(getattr(error, "problem", None) or error).splitlines()[0]
        raise PepperrunError("no-file", STEP, f"{path}{position}: {problem}") from None
