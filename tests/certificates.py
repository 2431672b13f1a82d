"""Certificates for the tests, made by the openssl command as they are needed; none is kept."""

from __future__ import annotations

import subprocess
from dataclasses import dataclass
from pathlib import Path


def openssl(*words: object, given: bytes = b"") -> bytes:
    """What a call of openssl printed."""
    return subprocess.run(
        ["openssl", *map(str, words)], check=True, capture_output=True, input=given, timeout=60
    ).stdout


@dataclass(frozen=True)
class Pair:
    """A certificate and its key."""

    cert: Path
    key: Path

    def serial(self) -> str:
        """Its serial number, in hexadecimal."""
        return openssl("x509", "-in", self.cert, "-noout", "-serial").decode().strip().partition("=")[2]


def make(
    folder: Path, name: str, subject: str = "/CN=localhost", signer: Pair | None = None, serial: int = 1
) -> Pair:
    """A pair by that name; signed by itself, or by another."""
    pair = Pair(folder / f"{name}.pem", folder / f"{name}.key")
    openssl("ecparam", "-name", "prime256v1", "-genkey", "-noout", "-out", pair.key)
    common = ("-key", pair.key, "-subj", subject, "-utf8", "-multivalue-rdn")
    if signer is None:
        openssl("req", "-x509", "-days", 2, *common, "-set_serial", serial, "-out", pair.cert)
    else:
        asked = openssl("req", "-new", *common)
        openssl(
            "x509", "-req", "-days", 2, "-CA", signer.cert, "-CAkey", signer.key, "-set_serial", serial,
            "-out", pair.cert, given=asked,
        )
    return pair
