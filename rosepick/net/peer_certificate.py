"""String form of the subject of a peer's certificate (RFC 4514): last part first, escaped."""

from __future__ import annotations

import re

# Form used by the ssl module: relative distinguished names, each with one or more attribute-value pairs.
DistinguishedName = tuple[tuple[tuple[str, str], ...], ...]

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
_UTF8_STRING = 0x0C  # ASN.1 tag


def format_rfc4514(name: DistinguishedName) -> str:
    """Return the string form of a distinguished name."""
    return ",".join(
        "+".join(_format_attribute(kind, value) for kind, value in part) for part in reversed(name)
    )


def _format_attribute(attribute_type: str, value: str) -> str:
    if attribute_type[:1].isdigit():  # an OID has no short name: write the value as hexadecimal BER
        return f"{attribute_type}=#{_encode_der(value.encode()).hex()}"
    return f"{_ATTRIBUTE_SHORT_NAMES.get(attribute_type, attribute_type)}={_NEEDS_ESCAPE.sub(_escape, value)}"


def _escape(match: re.Match[str]) -> str:
    character = match[0]
    is_control = ord(character) < 32 or ord(character) == 127
    return f"\\{ord(character):02x}" if is_control else "\\" + character


def _encode_der(data: bytes) -> bytes:
    size = len(data)
    if size < 128:
        return bytes((_UTF8_STRING, size)) + data
    length = size.to_bytes((size.bit_length() + 7) // 8, "big")
    return bytes((_UTF8_STRING, 0x80 | len(length))) + length + data
