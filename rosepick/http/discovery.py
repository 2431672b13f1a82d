"""Discovery's side: one call for the transport map, as bytes out and a list back."""

from __future__ import annotations

import json

from ..settings.reader import Reader
from .response import Answer, AnswerReader, BadAnswer

LIST_LIMIT = 4 * 1024 * 1024


class CallFailed(Exception):
    """Discovery did not answer with a list."""


def call(host: str, after: int | None, wait: float) -> bytes:
    """A call for what is newer than a revision; it may wait so many milliseconds for that. Without one: for
    the whole list.
    """
    query = "" if after is None else f"?after={after}&wait_ms={wait:.0f}"
    return (f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").encode()


class Told:
    """The answer to one call."""

    def __init__(self) -> None:
        self._reader = AnswerReader(LIST_LIMIT)

    def feed(self, data: bytes) -> tuple[Reader, bool] | None:
        """Take in bytes; the list once whole, and whether the connection can be kept. Raises CallFailed."""
        try:
            answer = self._reader.feed(data)
        except BadAnswer as problem:
            raise CallFailed(str(problem)) from None
        return None if answer is None else self._list(answer)

    def ended(self) -> tuple[Reader, bool]:
        """Discovery has ended its sending."""
        answer = self._reader.ended()
        if answer is None:
            raise CallFailed("the connection ended before the answer did")
        return self._list(answer)

    def _list(self, answer: Answer) -> tuple[Reader, bool]:
        if answer.status != 200:
            raise CallFailed(f"status {answer.status}")
        try:
            return Reader(json.loads(answer.body), ""), answer.reusable
        except (ValueError, RecursionError):
            raise CallFailed("not a JSON object") from None
