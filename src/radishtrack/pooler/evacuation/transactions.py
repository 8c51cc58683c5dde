"""Ends the transactions that are still open in evacuated zones."""

from __future__ import annotations

from radishtrack.pooler.group_access import GroupAccess


def end_transactions(access: GroupAccess) -> int:
    """Close connections whose transactions may not go on; return how many.

    The member rolls a transaction back when its connection ends, so no request is sent.
    A statement whose response is outstanding is left to finish: it may be a commit,
    whose outcome would otherwise be unknown. Its connection is closed by a later call.
    """
    ended = 0
    now_ms = access.clock.now_ms()
    for pool in access.pools.values():
        if access.evacuated.may_finish(pool.member.zone, now_ms):
            continue
        for pooled in pool.busy:
            if (
                pooled.is_in_transaction
                and not pooled.is_running
                and not pooled.link.is_closed
            ):
                pooled.link.close()
                ended += 1
    return ended
