"""Discovery's side: one call for the transport map, as bytes out and a list back."""

from __future__ import annotations

import json

from ..settings.reader import SettingsReader
from .response import MalformedResponseError, Response, ResponseReader

MAX_LIST_BYTES = 4 * 1024 * 1024


class DiscoveryError(Exception):
    """Discovery did not answer with a list."""


def encode_list_request(host: str, after_revision: int | None, wait_ms: float) -> bytes:
    """A call for what is newer than a revision; it may wait so many milliseconds for that. Without one: for
    the whole list.
    """
    query = "" if after_revision is None else f"?after={after_revision}&wait_ms={wait_ms:.0f}"
    return (f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").encode()


class EndpointListReader:
    """The answer to one call."""

    def __init__(self) -> None:
        self._reader = ResponseReader(MAX_LIST_BYTES)

    def feed(self, data: bytes) -> tuple[SettingsReader, bool] | None:
        """Take in bytes; the list once whole, and whether the connection can be kept. Raises CallFailed."""
        try:
            answer = self._reader.feed(data)
        except MalformedResponseError as problem:
            raise DiscoveryError(str(problem)) from None
        return None if answer is None else self._parse_list(answer)

    def feed_eof(self) -> tuple[SettingsReader, bool]:
        """Discovery has ended its sending."""
        answer = self._reader.feed_eof()
        if answer is None:
            raise DiscoveryError("the connection ended before the answer did")
        return self._parse_list(answer)

    def _parse_list(self, response: Response) -> tuple[SettingsReader, bool]:
        if response.status != 200:
            raise DiscoveryError(f"status {response.status}")
        try:
            return SettingsReader(json.loads(response.body), ""), response.reusable
        except (ValueError, RecursionError):
            raise DiscoveryError("not a JSON object") from None
