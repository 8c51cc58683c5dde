"""Client of the platform's object store."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, Final
from urllib.parse import quote

import attrs

from radishtrack.events import Event, log_event
from radishtrack.platform.http_client import HttpClient, HttpError, HttpResponse
from radishtrack.platform.tolerant_json import decode_tolerantly
from radishtrack.pooler.ports import StoreUnavailable
from radishtrack.revision import get_era, make_revision

CALL_TIMEOUT_MS: Final = 1_200.0
"""The store responds in milliseconds, or in a few hundred when it is slow. A call on an
unresponsive connection must fail well within the bound on configuration changes. It is
no limit of the whole response, whose size grows with the deployment."""
MAX_PAGES: Final = 200
"""Limit of the pages of a list, in case the store always reports more."""
OK_STATUSES: Final = (200, 201)
NOT_FOUND: Final = 404
CONFLICT: Final = 409
TOO_MANY_REQUESTS: Final = 429
ERA_HEADER: Final = b"store-era"
"""Header of all responses; rises by one each time the store comes back from an older
copy. A store without it loses nothing."""
NO_ERA: Final = 0
"""Era of a store that does not send the header."""


@attrs.frozen
class StoredObject:
    """An object of the store.

    Parameters
    ----------
    name : str
        Name, unique within its kind.
    revision : int
        Revision of its last change.
    spec : object
        Its content, decoded from JSON; `UNREADABLE` if that failed.
    """

    name: str
    revision: int
    spec: Any


@attrs.frozen
class ObjectList:
    """All objects of a kind, with the store's revision at the first page.

    Parameters
    ----------
    objects : tuple of StoredObject
        The objects.
    revision : int
        Revision as in `radishtrack.revision`; those of objects are the store's.
    """

    objects: tuple[StoredObject, ...]
    revision: int


@attrs.define(eq=False)
class ObjectStoreClient:
    """Client of one process; every call can raise `StoreUnavailable`.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    timeout_ms : float
        Longest wait of one call for the response or its next part, in milliseconds.
    """

    address: str
    timeout_ms: float = CALL_TIMEOUT_MS
    era: int = NO_ERA
    """Latest era that a response has named."""
    http: HttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.http = HttpClient(self.address)

    async def list_objects(self, kind: str) -> ObjectList:
        """Return all objects of a kind."""
        objects: list[StoredObject] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = f"?after={quote(after, safe='')}" if after else ""
            status, data = await self._call("list", "GET", _path(kind) + query)
            try:
                if status not in OK_STATUSES:
                    raise StoreUnavailable(
                        "list", f"status {status}", is_effect_unknown=False
                    )
                page = list(_parse_page(data["items"]))
                has_more = bool(data["hasMore"])
                if revision is None:
                    # Later pages may be newer; the list is complete up to this one.
                    revision = make_revision(self.era, int(data["atRev"]))
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                raise _malformed("list", error) from error
            objects += page
            if self.era != get_era(revision):
                raise StoreUnavailable(
                    "list", "restored between two pages", is_effect_unknown=False
                )
            if has_more and not page:
                raise StoreUnavailable(
                    "list", "a page without readable objects", is_effect_unknown=False
                )
            if not has_more:
                return ObjectList(tuple(objects), revision)
            after = page[-1].name
        raise StoreUnavailable("list", "too many pages", is_effect_unknown=False)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        status, data = await self._call("get", "GET", _path(kind, name))
        if status == NOT_FOUND:
            return None
        return self._expect_object("get", status, data)

    async def create(self, kind: str, name: str, spec: object) -> StoredObject | None:
        """Create an object; return None if it exists already."""
        body = {"meta": {"name": name}, "spec": spec}
        status, data = await self._call("create", "POST", _path(kind), body)
        if status == CONFLICT:
            return None
        return self._expect_object("create", status, data)

    async def replace(
        self, kind: str, name: str, spec: object, revision: int
    ) -> StoredObject | None:
        """Replace an object at a revision; return None if it changed or was deleted."""
        body = {"meta": {"name": name, "revision": revision}, "spec": spec}
        status, data = await self._call("replace", "PUT", _path(kind, name), body)
        if status in (CONFLICT, NOT_FOUND):
            return None
        return self._expect_object("replace", status, data)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        status, _ = await self._call("delete", "DELETE", _path(kind, name))
        if status not in (*OK_STATUSES, NOT_FOUND):
            raise StoreUnavailable(
                "delete", f"status {status}", is_effect_unknown=False
            )

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
    ) -> tuple[int, Any]:
        is_write = method != "GET"
        try:
            response = await self.http.request(
                method,
                path,
                timeout_ms=self.timeout_ms,
                body=b"" if body is None else json.dumps(body).encode(),
            )
            self._check_era(response)
            if response.status >= 500 or response.status == TOO_MANY_REQUESTS:
                # With either status the store has changed nothing.
                raise StoreUnavailable(
                    step, f"status {response.status}", is_effect_unknown=False
                )
            return response.status, decode_body(response.body)
        except HttpError as error:
            raise StoreUnavailable(
                step,
                str(error),
                is_effect_unknown=is_write and error.is_sent,
                received_bytes=error.received_bytes,
            ) from error
        except ValueError as error:
            raise StoreUnavailable(
                step, str(error), is_effect_unknown=is_write
            ) from error

    def _check_era(self, response: HttpResponse) -> None:
        """Record the era that a response names.

        Raises
        ------
        ValueError
            If the header is malformed, or names an earlier era than another response:
            what this one reports may be lost.
        """
        era = int(response.headers.get(ERA_HEADER, self.era))
        if era < self.era:
            raise ValueError(f"response of era {era} after one of era {self.era}")
        if era > self.era != NO_ERA:
            log_event(Event.STORE_RESTORED, era=era, earlier_era=self.era)
        self.era = era

    def _expect_object(self, step: str, status: int, data: Any) -> StoredObject:
        if status not in OK_STATUSES:
            raise StoreUnavailable(step, f"status {status}", is_effect_unknown=False)
        try:
            return _parse_object(data)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise _malformed(step, error) from error


def decode_body(data: bytes) -> Any:
    """Return the content of a response's body; None if it is empty.

    What can't be read of an object is `UNREADABLE`, so that the other objects of a list
    can be used.

    Raises
    ------
    ValueError
        If it is not valid JSON apart from that.
    """
    if not data:
        return None
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return decode_tolerantly(data)


def _path(kind: str, name: str | None = None) -> str:
    path = f"/-/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _parse_object(data: Any) -> StoredObject:
    meta = data["meta"]
    return StoredObject(str(meta["name"]), int(meta["revision"]), data.get("spec"))


def _parse_page(items: Any) -> Iterator[StoredObject]:
    """Yield the objects of a list, without those whose metadata can't be read."""
    for item in items:
        try:
            yield _parse_object(item)
        except (
            KeyError,
            TypeError,
            ValueError,
            OverflowError,
            AttributeError,
        ) as error:
            log_event(Event.LISTING_INVALID, object="unknown", reason=type(error))


def _malformed(step: str, error: Exception) -> StoreUnavailable:
    return StoreUnavailable(
        step, f"malformed response: {error!r}", is_effect_unknown=False
    )
