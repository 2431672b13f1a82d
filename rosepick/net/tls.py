"""TLS for clients: the server context, and the periodic reload of the certificate."""

from __future__ import annotations

import hashlib
import logging
import socket
import ssl
from pathlib import Path

from ..logs import log_event
from ..settings.operator_file import OperatorFile
from .event_loop import EventLoop, ReadyCallback, ScheduledCall
from .resource_budget import ResourceBudget
from .tls_handshakes import HandshakeScheduler
from .tls_stream import TlsStream

logger = logging.getLogger(__name__)
FILE_SETTINGS = ("tls_cert", "tls_key", "tls_client_ca")
_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
_VERIFY_MODES = {"off": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}


class TlsError(ValueError):
    """Raised for invalid TLS settings; `name` is the invalid setting."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(text)
        self.name = name


def make_context(file: OperatorFile) -> ssl.SSLContext:
    """Return a server context for the settings of an operator file.

    Raises:
        TlsError: a file cannot be read or used, or the key does not match the certificate.
    """
    paths = {name: path for name in FILE_SETTINGS if (path := file.text(name)) is not None}
    contents = {name: _read_file(name, path) for name, path in paths.items()}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _VERSIONS[str(file.text("tls_min_version"))]
    context.options |= ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(["http/1.1"])
    try:
        # Without the password callback, OpenSSL prompts at the terminal for an encrypted key.
        context.load_cert_chain(paths["tls_cert"], paths["tls_key"], password=lambda: "")
    except (ssl.SSLError, ValueError) as error:
        raise _key_pair_error(paths, contents, error) from None
    mode = _VERIFY_MODES[str(file.text("tls_client_cert"))]
    if mode is not ssl.CERT_NONE:
        try:
            context.load_verify_locations(paths["tls_client_ca"])
        except ssl.SSLError:
            raise _unusable_file_error(
                "tls_client_ca", paths, "holds no certificate that can be read"
            ) from None
        context.verify_mode = mode
    return context


def _read_file(name: str, path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise TlsError(name, f'{name} "{path}" cannot be read: {error.strerror}') from None


def _key_pair_error(paths: dict[str, str], contents: dict[str, bytes], error: Exception) -> TlsError:
    """Return the error for the invalid file of a certificate and key pair."""
    if getattr(error, "reason", None) == "KEY_VALUES_MISMATCH":
        return _unusable_file_error("tls_key", paths, f'does not match tls_cert "{paths["tls_cert"]}"')
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(
            cadata=contents["tls_cert"].decode("ascii")
        )
    except (ssl.SSLError, ValueError):
        return _unusable_file_error("tls_cert", paths, "holds no certificate that can be read")
    if b"ENCRYPTED" in contents["tls_key"]:
        return _unusable_file_error("tls_key", paths, "is encrypted")
    return _unusable_file_error("tls_key", paths, "holds no key that can be used with tls_cert")


def _unusable_file_error(name: str, paths: dict[str, str], text: str) -> TlsError:
    return TlsError(name, f'{name} "{paths[name]}" {text}')


class TlsServer:
    """Holds the current certificate, and reloads it when its files change; open connections keep theirs."""

    def __init__(self, loop: EventLoop, file: OperatorFile) -> None:
        self.loop = loop
        self.file = file
        self.handshakes = HandshakeScheduler(loop, 0.01 * file.integer("tls_handshake_part"))
        self._current_contents = self._read_contents(file)
        self.context = make_context(file)
        self._reload_timer: ScheduledCall
        self._schedule_reload()

    def make_stream(
        self, loop: EventLoop, budget: ResourceBudget, sock: socket.socket, on_ready: ReadyCallback
    ) -> TlsStream:
        """Create the stream of a connection with the current certificate."""
        return TlsStream(loop, budget, sock, on_ready, self.context, self.handshakes)

    def certificate_fingerprint(self) -> str:
        """Return the first 16 hexadecimal digits of the SHA-256 of the current certificate."""
        pem = self._current_contents.get("tls_cert", b"").decode("ascii", "replace")
        begin = pem.find(ssl.PEM_HEADER)
        end = pem.find(ssl.PEM_FOOTER) + len(ssl.PEM_FOOTER)
        certificate = ssl.PEM_cert_to_DER_cert(pem[begin:end])
        return hashlib.sha256(certificate).hexdigest()[:16]

    def reload(self, file: OperatorFile) -> None:
        """Apply a reread operator file (SIGHUP), and reload the certificate even if it is unchanged."""
        self.handshakes.throttle.cpu_fraction = 0.01 * file.integer("tls_handshake_part")
        self._reload_if_changed(file, {})
        self._schedule_reload()

    def _schedule_reload(self) -> None:
        if hasattr(self, "_reload_timer"):
            self._reload_timer.cancel()
        self._reload_timer = self.loop.call_after(
            1000.0 * self.file.seconds("tls_reload_interval"), self._reload_periodically
        )

    def _reload_periodically(self) -> None:
        self._reload_if_changed(self.file, self._current_contents)
        self._schedule_reload()

    def _reload_if_changed(self, file: OperatorFile, current_contents: dict[str, bytes]) -> None:
        """Apply the contents of the files if they differ from `current_contents` and are consistent.

        While only one file of a certificate and key pair is replaced, the old pair stays in force.
        """
        try:
            contents = self._read_contents(file)
            if contents == current_contents:
                return
            self._current_contents = contents  # so that a failure is logged once and not at each reload
            context = make_context(file)
            if self._read_contents(file) != contents:
                self._current_contents = {}  # the files are being replaced: retry at the next reload
                return
        except TlsError as error:
            log_event(logger, logging.ERROR, "tls_reload_failed", text=error)
            return
        self.file = file
        self.context = context
        log_event(logger, logging.INFO, "tls_reloaded", certificate=self.certificate_fingerprint())

    @staticmethod
    def _read_contents(file: OperatorFile) -> dict[str, bytes]:
        return {
            name: _read_file(name, path) for name in FILE_SETTINGS if (path := file.text(name)) is not None
        }
