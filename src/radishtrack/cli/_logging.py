"""Log lines on standard error."""

from __future__ import annotations

import logging as standard_logging
from typing import Final

from absl import logging

from radishtrack.events import use_json_lines

QUIET_LIBRARIES: Final = ("mysql_mimic", "websockets", "transitions", "aiohttp")


def configure_logging(*, as_json: bool) -> None:
    """Send log events to standard error, as text or as JSON lines."""
    # The libraries' own lines have no event number, and mysql_mimic reports every
    # refused statement as an error, which would flood the log in an overload.
    for name in QUIET_LIBRARIES:
        standard_logging.getLogger(name).setLevel(standard_logging.CRITICAL)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if as_json:
        formatter = standard_logging.Formatter("%(message)s")
        logging.get_absl_handler().setFormatter(formatter)
    use_json_lines(as_json)
