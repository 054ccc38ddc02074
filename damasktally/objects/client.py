"""HTTP client of the platform's object API."""

from collections.abc import Sequence
from time import monotonic
from typing import TypeVar
from urllib.parse import quote

from pydantic import ValidationError
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from damasktally.http1.limited_client import (
    ReceivedResponse,
    fetch,
    make_pool_manager,
)
from damasktally.objects.api import ObjectPage, StoredObject, WatchPage
from damasktally.objects.budget import CallBudget
from damasktally.objects.exceptions import (
    Conflict,
    HistoryGone,
    NotFound,
    OutcomeUnknown,
    StoreUnavailable,
)

Answer = TypeVar("Answer", ObjectPage, StoredObject, WatchPage)

MAX_IDLE_CONNECTIONS = 8
"""Idle connections to the platform that one client keeps open."""
STORE_REMEDY = "Check that the platform is up and that [platform] url is correct."


class HttpStore:
    """Object store of the platform, accessed over HTTP.

    :param url: base URL of the object API.
    :param timeout_s: seconds to wait for a response; a watch waits for its ``wait_s``
        in addition.
    :param budget: limits and counts the calls.
    """

    def __init__(self, url: str, timeout_s: float, budget: CallBudget) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._budget = budget
        self._pool = make_pool_manager(maxsize=MAX_IDLE_CONNECTIONS, retries=False)

    def list_objects(self, kinds: Sequence[str], purpose: str) -> ObjectPage:
        """Read all objects of some kinds at one revision."""
        body = self._read(f"/v1/objects?kinds={','.join(kinds)}", purpose, 0.0)
        return _parse_response(ObjectPage, body)

    def get(self, kind: str, name: str, purpose: str) -> StoredObject:
        """Read one object."""
        return _parse_response(
            StoredObject, self._read(_path(kind, name), purpose, 0.0)
        )

    def put(self, obj: StoredObject, purpose: str) -> StoredObject:
        """Write an object if its revision is unchanged."""
        body = self._write(
            "PUT", obj.kind, obj.name, purpose, obj.model_dump_json().encode(), {}
        )
        try:
            return StoredObject.model_validate_json(body)
        except ValidationError as exc:
            raise _make_outcome_unknown(obj.kind, obj.name) from exc

    def delete(self, kind: str, name: str, revision: int, purpose: str) -> None:
        """Delete an object if its revision is unchanged."""
        headers = {"If-Match": str(revision)}
        self._write("DELETE", kind, name, purpose, None, headers)

    def watch(self, after: int, kinds: Sequence[str], wait_s: float) -> WatchPage:
        """Wait for changes after a revision."""
        path = f"/v1/watch?after={after}&kinds={','.join(kinds)}&wait={wait_s}"
        return _parse_response(WatchPage, self._read(path, "watch", wait_s))

    def _read(self, path: str, purpose: str, wait_s: float) -> bytes:
        self._budget.take(purpose)
        try:
            response = self._send("GET", path, None, {}, wait_s)
        except HTTPError as exc:
            raise StoreUnavailable(
                f"The platform did not respond: {type(exc).__name__}.", STORE_REMEDY
            ) from exc
        if response.status == 404:
            raise NotFound(f"Nothing exists at {path}.", "Check the name.")
        if response.status == 410:
            raise HistoryGone(
                "The revision of the watch is too old.", "List the objects again."
            )
        if response.status != 200:
            raise StoreUnavailable(
                f"The platform responded with status {response.status}.", STORE_REMEDY
            )
        return response.body

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        purpose: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> bytes:
        self._budget.take(purpose)
        try:
            response = self._send(method, _path(kind, name), body, headers, 0.0)
        except HTTPError as exc:
            raise _make_outcome_unknown(kind, name) from exc
        if response.status == 409:
            raise Conflict(
                f"{kind} {name} was changed by another writer.",
                "Read it again and repeat the change.",
            )
        if response.status == 404:
            raise NotFound(f"{kind} {name} does not exist.", "Check the name.")
        if response.status != 200:
            raise _make_outcome_unknown(kind, name)
        return response.body

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        wait_s: float,
    ) -> ReceivedResponse:
        timeout = Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)
        return fetch(
            self._pool,
            method,
            self._url + path,
            monotonic() + self._timeout_s + wait_s,
            monotonic,
            body=body,
            headers=headers,
            timeout=timeout,
        )


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _make_outcome_unknown(kind: str, name: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"The response to the write of {kind} {name} was lost.",
        "Read the object back and compare its nonce.",
    )


def _parse_response(model: type[Answer], body: bytes) -> Answer:
    try:
        return model.model_validate_json(body)
    except ValidationError as exc:
        raise StoreUnavailable(
            "The platform's response cannot be parsed.", STORE_REMEDY
        ) from exc
