"""Database proxy with session consistency."""

from __future__ import annotations

from typing import Final

__version__: Final = "0.1.0"
