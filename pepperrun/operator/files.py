"""Files that operators hand over: JSON or YAML, by what they hold and not by their names."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import yaml

from pepperrun.foundation.errors import PepperrunError

STEP = "reading a file"


def read_as_json(path: str) -> bytes:
    """A configuration or a change as a call's body: JSON as it is, YAML as JSON. PepperrunError `no-file`."""
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
    """What a file holds; JSON is YAML, too."""
    try:
        return yaml.safe_load(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise PepperrunError("no-file", STEP, f"{path}: {error}") from None
    except yaml.YAMLError as error:
        where = getattr(error, "problem_mark", None)
        place = f", line {where.line + 1}" if where is not None else ""
        what = str(getattr(error, "problem", None) or error).splitlines()[0]
        raise PepperrunError("no-file", STEP, f"{path}{place}: {what}") from None
