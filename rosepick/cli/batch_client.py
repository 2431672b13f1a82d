"""A client of the batch listener, for the command `mget`."""

from __future__ import annotations

import http.client
from collections.abc import Iterable
from dataclasses import dataclass

from ..http.batch_protocol import PATH, BatchResponseError, parse_entries

RESPONSE_GRACE_S = 15.0  # added to the deadline in seconds, for a response that is slow to transfer
OK_STATUS = 200


class BatchError(Exception):
    """The response to a batch is missing or malformed; the message has one line."""


@dataclass(frozen=True, slots=True)
class BatchResponse:
    """The response to a batch; `all_served` is whether each of its reads was served."""

    body: bytes
    all_served: bool


def send_batch(
    address: tuple[str, int], keys: Iterable[str], kind: str, owner: str, deadline_s: float
) -> BatchResponse:
    """Send one batch of reads and return the response; `deadline_s` is in seconds.

    Raises:
        BatchError: the response is missing or malformed, or answers other keys.
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
            raise BatchError("the response does not match the keys of the batch")
        return BatchResponse(body, all(status == OK_STATUS for _, _, status, _ in entries))
    except (OSError, http.client.HTTPException) as error:
        raise BatchError(f"{address[0]}:{address[1]}: {error or type(error).__name__}") from None
    except BatchResponseError as error:
        raise BatchError(f"the response is incomplete: {error}") from None
    finally:
        connection.close()
