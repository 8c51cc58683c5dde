"""Orders promotions at the platform."""

from __future__ import annotations

from typing import Final

import aiohttp

from radishtrack.pooler.ports import PromoteMember, PromotionResult

ORDER_TIMEOUT_MS: Final = 800.0
"""The platform answers in milliseconds; without an answer the members tell."""
OK: Final = 200


def make_promote_member(address: str) -> PromoteMember:
    """Return the call that orders a promotion at ``host:port``."""

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
