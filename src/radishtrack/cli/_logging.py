"""Configuration of logging to standard error."""

from __future__ import annotations

import logging as standard_logging

from absl import logging

from radishtrack.events import use_json_lines
from radishtrack.log_output import silence_libraries


def configure_logging(*, as_json: bool) -> None:
    """Send log events to standard error, as text or as JSON lines."""
    silence_libraries()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if as_json:
        formatter = standard_logging.Formatter("%(message)s")
        logging.get_absl_handler().setFormatter(formatter)
    use_json_lines(as_json)
