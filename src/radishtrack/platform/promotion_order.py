"""Orders promotions at the platform."""

from __future__ import annotations

from typing import Final

import aiohttp

from radishtrack.pooler.ports import PromoteMember, PromotionResult

ORDER_TIMEOUT_MS: Final = 800.0
"""The platform responds in milliseconds; without a response the members' reports show
whether the promotion took place."""
OK: Final = 200


def make_promote_member(address: str) -> PromoteMember:
    """Return a function that orders promotions at ``host:port``."""

    async def promote(
        group: str, member: str, holder: str, token: int
    ) -> PromotionResult:
        headers = {"X-Duty-Holder": holder, "X-Fencing-Token": str(token)}
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_MS / 1000)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f"http://{address}/promotion",
                    json={"service": group, "id": member},
                    headers=headers,
                ) as response,
            ):
                accepted = response.status == OK
                return PromotionResult.ACCEPTED if accepted else PromotionResult.REFUSED
        except aiohttp.ClientConnectorError:
            return PromotionResult.REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return PromotionResult.UNKNOWN

    return promote
