"""A client of the batch listener, as any other client would be."""

from __future__ import annotations

import http.client
from collections.abc import Iterable
from dataclasses import dataclass

from ..http.batch_protocol import PATH, BatchResponseError, parse_entries

RESPONSE_GRACE_S = 15.0  # beyond the deadline, for a response that is slow to transfer
OK_STATUS = 200


class BatchError(Exception):
    """A batch has no response, or a malformed one; the message is one line."""


@dataclass(frozen=True, slots=True)
class BatchResponse:
    """The response to a batch, and whether each of its reads was served."""

    body: bytes
    all_served: bool


def send_batch(
    address: tuple[str, int], keys: Iterable[str], kind: str, owner: str, deadline_s: float
) -> BatchResponse:
    """Send one batch of reads and return the response.

    Raises:
        BatchError: there is no response, or it is not that of this batch.
    """
    requested = list(keys)
    connection = http.client.HTTPConnection(*address, timeout=deadline_s + RESPONSE_GRACE_S)
    headers = {"Req-Kind": kind, "Req-Owner": owner, "Req-Deadline": f"{deadline_s:.3f}"}
    try:
        connection.request("POST", PATH.decode(), "".join(f"{key}\n" for key in requested).encode(), headers)
        response = connection.getresponse()
        body = response.read()
        if response.status != OK_STATUS:
            raise BatchError(f"status {response.status}: {body.decode('utf-8', 'replace').strip()}")
        entries = list(parse_entries(body))
        if [key.decode() for key, *_ in entries] != requested:
            raise BatchError("the answer is not that of this batch")
        return BatchResponse(body, all(status == OK_STATUS for _, _, status, _ in entries))
    except (OSError, http.client.HTTPException) as error:
        raise BatchError(f"{address[0]}:{address[1]}: {error or type(error).__name__}") from None
    except BatchResponseError as error:
        raise BatchError(f"the answer is not whole: {error}") from None
    finally:
        connection.close()
