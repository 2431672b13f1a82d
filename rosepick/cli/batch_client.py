"""`rosepick mget`: one batch, asked as any client would ask it."""

from __future__ import annotations

import http.client
from collections.abc import Iterable

from ..http.batch_protocol import PATH, BatchResponseError, parse_entries

RESPONSE_GRACE_S = 15.0  # seconds beyond the deadline: for an answer that takes long to come over


class BatchError(Exception):
    """The batch has no answer; the message is one plain line."""


def send_batch(
    address: tuple[str, int], keys: Iterable[str], kind: str, owner: str, deadline_s: float
) -> tuple[bytes, bool]:
    """The answer to a batch, and whether all of it was served. NoAnswer if there is none that is whole."""
    asked = list(keys)
    connection = http.client.HTTPConnection(*address, timeout=deadline_s + RESPONSE_GRACE_S)
    headers = {"Req-Kind": kind, "Req-Owner": owner, "Req-Deadline": f"{deadline_s:.3f}"}
    try:
        connection.request("POST", PATH.decode(), "".join(f"{key}\n" for key in asked).encode(), headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise BatchError(f"status {answer.status}: {body.decode('utf-8', 'replace').strip()}")
        found = list(parse_entries(body))
        if [key.decode() for key, *_ in found] != asked:
            raise BatchError("the answer is not that of this batch")
        return body, all(status == 200 for _, _, status, _ in found)
    except (OSError, http.client.HTTPException) as problem:
        raise BatchError(f"{address[0]}:{address[1]}: {problem or type(problem).__name__}") from None
    except BatchResponseError as problem:
        raise BatchError(f"the answer is not whole: {problem}") from None
    finally:
        connection.close()
