"""Orders promotions at the platform."""

from __future__ import annotations

import json
from typing import Final

from radishtrack.platform.http_client import HttpClient, HttpError
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
        client = HttpClient(address)
        headers = {"X-Duty-Holder": holder, "X-Fencing-Token": str(token)}
        body = json.dumps({"service": group, "id": member}).encode()
        try:
            response = await client.request(
                "POST",
                "/promotion",
                timeout_ms=ORDER_TIMEOUT_MS,
                headers=headers,
                body=body,
            )
        except HttpError as error:
            if not error.is_sent:
                return PromotionResult.REFUSED
            return PromotionResult.UNKNOWN
        finally:
            await client.close()
        if response.status == OK:
            return PromotionResult.ACCEPTED
        return PromotionResult.REFUSED

    return promote
