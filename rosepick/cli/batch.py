"""`rosepick mget`: one batch, asked as any client would ask it."""

from __future__ import annotations

import http.client
from collections.abc import Iterable

from ..http.multiget import PATH, BadBatchAnswer, entries

PATIENCE = 15.0  # seconds beyond the deadline: for an answer that takes long to come over


class NoAnswer(Exception):
    """The batch has no answer; the message is one plain line."""


def ask(
    endpoint: tuple[str, int], keys: Iterable[str], kind: str, owner: str, deadline: float
) -> tuple[bytes, bool]:
    """The answer to a batch, and whether all of it was served. NoAnswer if there is none that is whole."""
    asked = list(keys)
    connection = http.client.HTTPConnection(*endpoint, timeout=deadline + PATIENCE)
    headers = {"Req-Kind": kind, "Req-Owner": owner, "Req-Deadline": f"{deadline:.3f}"}
    try:
        connection.request("POST", PATH.decode(), "".join(f"{key}\n" for key in asked).encode(), headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise NoAnswer(f"status {answer.status}: {body.decode('utf-8', 'replace').strip()}")
        found = list(entries(body))
        if [key.decode() for key, *_ in found] != asked:
            raise NoAnswer("the answer is not that of this batch")
        return body, all(status == 200 for _, _, status, _ in found)
    except (OSError, http.client.HTTPException) as problem:
        raise NoAnswer(f"{endpoint[0]}:{endpoint[1]}: {problem or type(problem).__name__}") from None
    except BadBatchAnswer as problem:
        raise NoAnswer(f"the answer is not whole: {problem}") from None
    finally:
        connection.close()
