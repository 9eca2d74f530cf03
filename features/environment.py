"""What the steps need: the folder of the features on the path, and folders that end with a scenario."""

import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent), str(Path(__file__).resolve().parents[1])]


def before_scenario(context, scenario):
    context.held = tempfile.TemporaryDirectory()
    context.folder = Path(context.held.name)


def after_scenario(context, scenario):
    context.held.cleanup()
