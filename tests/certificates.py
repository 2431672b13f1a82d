"""Certificates for the tests, made as they are needed; none is kept."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)


@dataclass(frozen=True)
class Pair:
    """A certificate and its key."""

    cert: Path
    key: Path

    def serial(self) -> str:
        """Its serial number, in hexadecimal."""
        return serial_of(self.cert.read_bytes())

    def private(self) -> ec.EllipticCurvePrivateKey:
        """Its key."""
        key = serialization.load_pem_private_key(self.key.read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        return key

    def encrypted(self, password: bytes) -> bytes:
        """Its key with a password."""
        return _pem(self.private(), serialization.BestAvailableEncryption(password))


def serial_of(data: bytes) -> str:
    """The serial number of a certificate in PEM or DER, in hexadecimal, of whole bytes."""
    pem = data.startswith(b"-----")
    found = x509.load_pem_x509_certificate(data) if pem else x509.load_der_x509_certificate(data)
    text = f"{found.serial_number:X}"
    return text.zfill(len(text) + len(text) % 2)


def _pem(key: ec.EllipticCurvePrivateKey, cover: serialization.KeySerializationEncryption) -> bytes:
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, cover)


def _name(subject: str) -> x509.Name:
    """A name such as /O=acme/CN=gw; parts joined by + are of one level."""
    kinds = {"CN": NameOID.COMMON_NAME, "O": NameOID.ORGANIZATION_NAME}
    return x509.Name(
        [
            x509.RelativeDistinguishedName(
                x509.NameAttribute(kinds[kind], value)
                for kind, _, value in (pair.partition("=") for pair in level.split("+"))
            )
            for level in subject.strip("/").split("/")
        ]
    )


def make(
    folder: Path, name: str, subject: str = "/CN=localhost", signer: Pair | None = None, serial: int = 1
) -> Pair:
    """A pair by that name; signed by itself, or by another."""
    pair = Pair(folder / f"{name}.pem", folder / f"{name}.key")
    key = ec.generate_private_key(ec.SECP256R1())
    pair.key.write_bytes(_pem(key, serialization.NoEncryption()))
    begin = datetime.datetime.now(datetime.UTC)
    issuer, signs = _name(subject), key
    if signer is not None:
        issuer = x509.load_pem_x509_certificate(signer.cert.read_bytes()).subject
        signs = signer.private()
    made = (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(begin - DAY)
        .not_valid_after(begin + DAY)
        .add_extension(x509.BasicConstraints(ca=signer is None, path_length=None), critical=True)
        .sign(signs, hashes.SHA256())
    )
    pair.cert.write_bytes(made.public_bytes(serialization.Encoding.PEM))
    return pair
