"""Encodes polls of the discovery service and parses the endpoint lists that it returns."""

from __future__ import annotations

import json
from typing import NamedTuple

from ..settings.reader import SettingsReader
from .response import MalformedResponseError, Response, ResponseReader

MAX_LIST_BYTES = 4 * 1024 * 1024


class DiscoveryError(Exception):
    """Signals that the response of the discovery service is not an endpoint list."""


def encode_list_request(host: str, after_revision: int | None, wait_ms: float) -> bytes:
    """Encode a long poll for a list newer than `after_revision`, or a request for the current list.

    Args:
        host: value of the Host header.
        after_revision: revision of the list that the router has; None requests the current list at once.
        wait_ms: longest time in milliseconds that the service may wait for a newer revision.
    """
    query = "" if after_revision is None else f"?after={after_revision}&wait_ms={wait_ms:.0f}"
    return (f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").encode()


class EndpointListReply(NamedTuple):
    """Holds an endpoint list that is not validated yet."""

    document: SettingsReader
    reusable: bool  # the connection can carry another poll


class EndpointListReader:
    """Parses the response to one poll of the discovery service."""

    def __init__(self) -> None:
        self._reader = ResponseReader(MAX_LIST_BYTES)

    def feed(self, data: bytes) -> EndpointListReply | None:
        """Parse received bytes; return the list once it is complete.

        Raises:
            DiscoveryError: the response is malformed, has a status other than 200, or is not a
                JSON object.
        """
        try:
            response = self._reader.feed(data)
        except MalformedResponseError as error:
            raise DiscoveryError(str(error)) from None
        return None if response is None else self._parse_list(response)

    def feed_eof(self) -> EndpointListReply:
        """Return the list if the end of the connection marks the end of the response.

        Raises:
            DiscoveryError: the response is incomplete, or `feed` would reject it.
        """
        response = self._reader.feed_eof()
        if response is None:
            raise DiscoveryError("the connection closed before the response was complete")
        return self._parse_list(response)

    def close(self) -> None:
        """Drop what was received of the response."""
        self._reader.close()

    def _parse_list(self, response: Response) -> EndpointListReply:
        if response.status != 200:
            raise DiscoveryError(f"status {response.status}")
        try:
            return EndpointListReply(SettingsReader(json.loads(response.body), ""), response.reusable)
        except (ValueError, RecursionError):
            raise DiscoveryError("not a JSON object") from None
