"""Protocol of the discovery service: encodes a poll for endpoints and parses the list."""

from __future__ import annotations

import json
from typing import NamedTuple

from ..settings.reader import SettingsReader
from .response import MalformedResponseError, Response, ResponseReader

MAX_LIST_BYTES = 4 * 1024 * 1024


class DiscoveryError(Exception):
    """The response of the discovery service is not an endpoint list."""


def encode_list_request(host: str, after_revision: int | None, wait_ms: float) -> bytes:
    """Encode a long poll for lists newer than a revision; without one, a request for the current list.

    Args:
        host: value of the Host header.
        after_revision: the revision known already.
        wait_ms: how long the service may wait for a newer revision, in milliseconds.
    """
    query = "" if after_revision is None else f"?after={after_revision}&wait_ms={wait_ms:.0f}"
    return (f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").encode()


class EndpointListReply(NamedTuple):
    """An endpoint list as received, before it is validated."""

    document: SettingsReader
    reusable: bool  # the connection can carry another poll


class EndpointListReader:
    """Parses the response to one poll."""

    def __init__(self) -> None:
        self._reader = ResponseReader(MAX_LIST_BYTES)

    def feed(self, data: bytes) -> EndpointListReply | None:
        """Parse received bytes; return the list once it is complete.

        Raises:
            DiscoveryError: the response is malformed, not a 200 or not a JSON object.
        """
        try:
            response = self._reader.feed(data)
        except MalformedResponseError as error:
            raise DiscoveryError(str(error)) from None
        return None if response is None else self._parse_list(response)

    def feed_eof(self) -> EndpointListReply:
        """Return the list if the end of the connection delimits it.

        Raises:
            DiscoveryError: as `feed`, or the response is incomplete.
        """
        response = self._reader.feed_eof()
        if response is None:
            raise DiscoveryError("the connection ended before the answer did")
        return self._parse_list(response)

    def _parse_list(self, response: Response) -> EndpointListReply:
        if response.status != 200:
            raise DiscoveryError(f"status {response.status}")
        try:
            return EndpointListReply(SettingsReader(json.loads(response.body), ""), response.reusable)
        except (ValueError, RecursionError):
            raise DiscoveryError("not a JSON object") from None
