"""A certificate's subject as RFC 4514 writes it: the last part first, and what could be mistaken escaped."""

from __future__ import annotations

import re

DistinguishedName = tuple[
    tuple[tuple[str, str], ...], ...
]  # as the ssl module gives it: parts, each of one or more pairs

_ATTRIBUTE_SHORT_NAMES = {
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
_NEEDS_ESCAPE = re.compile(r'[\\",;<>+]|^[ #]| $|[\x00-\x1f\x7f]')
_UTF8_STRING = 0x0C  # the tag of the type that text is encoded as


def format_rfc4514(name: DistinguishedName) -> str:
    """The text of a name."""
    return ",".join(
        "+".join(_format_attribute(kind, value) for kind, value in part) for part in reversed(name)
    )


def _format_attribute(attribute_type: str, value: str) -> str:
    if attribute_type[:1].isdigit():  # a type without a name: its value is given as encoded
        return f"{attribute_type}=#{_encode_der(value.encode()).hex()}"
    return f"{_ATTRIBUTE_SHORT_NAMES.get(attribute_type, attribute_type)}={_NEEDS_ESCAPE.sub(_escape, value)}"


def _escape(match: re.Match[str]) -> str:
    sign = match[0]
    return f"\\{ord(sign):02x}" if ord(sign) < 32 or ord(sign) == 127 else "\\" + sign


def _encode_der(data: bytes) -> bytes:
    size = len(data)
    if size < 128:
        return bytes((_UTF8_STRING, size)) + data
    length = size.to_bytes((size.bit_length() + 7) // 8, "big")
    return bytes((_UTF8_STRING, 0x80 | len(length))) + length + data
