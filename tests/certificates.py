"""Certificates for tests, created on demand."""

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
class CertificatePair:
    """Files of a certificate and its private key."""

    cert: Path
    key: Path

    def serial(self) -> str:
        """Return the serial number of the certificate in hexadecimal."""
        return serial_of(self.cert.read_bytes())

    def load_key(self) -> ec.EllipticCurvePrivateKey:
        """Return the private key."""
        key = serialization.load_pem_private_key(self.key.read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        return key

    def encrypted_key(self, password: bytes) -> bytes:
        """Return the private key as PEM, encrypted with a password."""
        return _pem(self.load_key(), serialization.BestAvailableEncryption(password))


def serial_of(data: bytes) -> str:
    """Return the serial number of a PEM or DER certificate in hexadecimal, with an even number of digits."""
    pem = data.startswith(b"-----")
    certificate = x509.load_pem_x509_certificate(data) if pem else x509.load_der_x509_certificate(data)
    text = f"{certificate.serial_number:X}"
    return text.zfill(len(text) + len(text) % 2)


def _pem(key: ec.EllipticCurvePrivateKey, encryption: serialization.KeySerializationEncryption) -> bytes:
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption)


def _name(subject: str) -> x509.Name:
    """Return a name such as /O=acme/CN=gw; attributes joined by + form one level."""
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


def create_pair(
    folder: Path,
    name: str,
    subject: str = "/CN=localhost",
    signer: CertificatePair | None = None,
    serial: int = 1,
) -> CertificatePair:
    """Create a certificate and key with this file name; self-signed unless there is a `signer`."""
    pair = CertificatePair(folder / f"{name}.pem", folder / f"{name}.key")
    key = ec.generate_private_key(ec.SECP256R1())
    pair.key.write_bytes(_pem(key, serialization.NoEncryption()))
    now = datetime.datetime.now(datetime.UTC)
    issuer, signing_key = _name(subject), key
    if signer is not None:
        issuer = x509.load_pem_x509_certificate(signer.cert.read_bytes()).subject
        signing_key = signer.load_key()
    certificate = (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.BasicConstraints(ca=signer is None, path_length=None), critical=True)
        .sign(signing_key, hashes.SHA256())
    )
    pair.cert.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return pair
