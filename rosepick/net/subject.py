"""A certificate's subject as RFC 4514 writes it: the last part first, and what could be mistaken escaped."""

from __future__ import annotations

import re

Name = tuple[tuple[tuple[str, str], ...], ...]  # as the ssl module gives it: parts, each of one or more pairs

_SHORT = {
    "commonName": "CN",
    "localityName": "L",
    "stateOrProvinceName": "ST",
    "organizationName": "O",
    "organizationalUnitName": "OU",
    "countryName": "C",
    "streetAddress": "STREET",
    "domainComponent": "DC",
    "userId": "UID",
}
_ODD = re.compile(r'[\\",;<>+]|^[ #]| $|[\x00-\x1f\x7f]')
_UTF8_STRING = 0x0C  # the tag of the type that text is encoded as


def rfc4514(name: Name) -> str:
    """The text of a name."""
    return ",".join("+".join(_pair(kind, value) for kind, value in part) for part in reversed(name))


def _pair(kind: str, value: str) -> str:
    if kind[:1].isdigit():  # a type without a name: its value is given as encoded
        return f"{kind}=#{_encoded(value.encode()).hex()}"
    return f"{_SHORT.get(kind, kind)}={_ODD.sub(_escaped, value)}"


def _escaped(found: re.Match[str]) -> str:
    sign = found[0]
    return f"\\{ord(sign):02x}" if ord(sign) < 32 or ord(sign) == 127 else "\\" + sign


def _encoded(data: bytes) -> bytes:
    size = len(data)
    if size < 128:
        return bytes((_UTF8_STRING, size)) + data
    length = size.to_bytes((size.bit_length() + 7) // 8, "big")
    return bytes((_UTF8_STRING, 0x80 | len(length))) + length + data
