"""What the steps need: the folder of the features on the path, and folders that end with a scenario."""

import sys
import tempfile
from pathlib import Path

from absl import logging

sys.path[:0] = [str(Path(__file__).resolve().parent), str(Path(__file__).resolve().parents[1])]


def before_all(context):
    logging.set_verbosity(logging.FATAL)  # what is dealt with is told in logs, and here it is asked for


def before_scenario(context, scenario):
    context.held = tempfile.TemporaryDirectory()
    context.folder = Path(context.held.name)


def after_scenario(context, scenario):
    context.held.cleanup()
