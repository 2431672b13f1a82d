"""Driver of a witness: a listener, its folder, and the links to the others.

An answer is said only after what it rests on is on the disk. A disk that fails ends the process, without a
reply.
"""

from __future__ import annotations

import logging
import secrets
import signal
import socket
import sqlite3
from collections.abc import Mapping
from pathlib import Path

from ..connections.descriptor_budget import DescriptorUse
from ..consensus import codec
from ..consensus import messages as m
from ..consensus.acceptor import Acceptor, StateChanges
from ..consensus.codec import DecodeError, FrameDecoder
from ..logs import log_event
from ..net.boot_clock import boottime_s
from ..net.event_loop import READ, WRITE, EventLoop
from ..net.listen_socket import listen
from ..net.resource_budget import ResourceBudget
from ..net.tcp_stream import TcpStream
from .acceptor_store import AcceptorStore
from .quorum_connection import QuorumConnection, SocketAddress

logger = logging.getLogger(__name__)
MAX_CLIENT_CONNECTIONS = 2_000  # at one time; the one that was silent longest gives way
RESTART_CHECK_INTERVAL_MS = 1_000.0
INITIAL_RESTART_CHECK_INTERVAL_MS = 100.0  # until the witness votes
RESTART_CHECK_GRACE_MS = 2_000.0  # at a start: wait for all others so long, then for enough of them
SUMMARY_INTERVAL_MS = 60_000.0
MAX_UNREAD_REPLY_BYTES = 32 * 1024 * 1024  # bytes of answers that a caller leaves unread
EXIT_DISK_FAILED = 3  # exit status


class IncomingConnection:
    """One connection to the witness."""

    def __init__(self, server: AcceptorServer, sock: socket.socket) -> None:
        self.server = server
        self.frame_decoder = FrameDecoder()
        self.stream = TcpStream(
            server.loop, server.budget, sock, self._on_ready, READ, DescriptorUse.DOWNSTREAM
        )

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            if mask & READ:
                self._read()
            self.update_interest()
        except OSError:
            self.close()
        except DecodeError as problem:
            self.server.record_decode_error(problem.reason)
            self.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if not data:
            raise OSError("closed")
        self.server.clients[self] = self.server.clients.pop(self)  # the last that was heard
        for frame in self.frame_decoder.feed(data):
            self.server.handle_request(self, codec.decode_request(frame, self.server.key))

    def send(self, frame: bytes) -> None:
        """Send an answer; a caller that is gone or reads nothing does not get it."""
        if not self.stream.is_open:
            return
        try:
            self.stream.send(frame)
            self.update_interest()
        except OSError:
            self.close()

    def update_interest(self) -> None:
        """Wait for what is next."""
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def close(self) -> None:
        """Let go of it."""
        self.server.clients.pop(self, None)
        self.stream.close()


class AcceptorServer:
    """One witness process."""

    def __init__(
        self,
        name: str,
        witnesses: Mapping[str, SocketAddress],
        key: bytes,
        folder: Path,
        loop: EventLoop | None = None,
    ) -> None:
        self.loop = loop = loop or EventLoop(boottime_s)
        self.name, self.key = name, key
        self.store = AcceptorStore(folder, secrets.token_hex(8))
        self.acceptor = Acceptor(name, self.store.state, secrets.token_hex(8))
        self.budget = ResourceBudget(MAX_CLIENT_CONNECTIONS + 64)
        self.clients: dict[IncomingConnection, None] = {}
        self.exit_status = 0
        self.counts = dict.fromkeys(("requests", "commits", "decode_errors", "ballot_conflicts"), 0)
        self._started_at = loop.now()
        self._last_request_id = 0
        self._pending_changes, self._pending_replies = (
            StateChanges(),
            list[tuple[IncomingConnection, m.QuorumReply]](),
        )
        self._voting_announced = False
        self.peers = {
            other: QuorumConnection(loop, self.budget, other, endpoint, key, self._handle_peer_reply)
            for other, endpoint in witnesses.items()
            if other != name
        }
        self.listening_socket = listen(witnesses[name], 512)
        loop.register(self.listening_socket, READ, self._accept_clients)
        self._log_start()
        self._send_restart_checks()
        loop.call_after(RESTART_CHECK_GRACE_MS, lambda: self._update_voting(wait_for_all=False))
        loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)

    def _log_start(self) -> None:
        saved = self.store.state
        if self.store.was_copied:
            log_event(
                logger,
                logging.ERROR,
                "replica_storage_copied",
                folder=self.store.folder.path,
                storage_id=saved.storage_id,
            )
        log_event(
            logger,
            logging.INFO,
            "replica_started",
            name=self.name,
            storage_id=saved.storage_id,
            start_count=saved.start_count,
            epoch=saved.quorum.epoch if saved.quorum else 0,
            registers=len(saved.register_states),
            is_voting=self.acceptor.is_voting,
        )

    # -- callers

    def _accept_clients(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self.listening_socket.accept()
            except OSError:
                return
            if len(self.clients) >= MAX_CLIENT_CONNECTIONS:
                next(iter(self.clients)).close()
            self.clients[IncomingConnection(self, sock)] = None

    def record_decode_error(self, reason: str) -> None:
        """A caller sent what is no message of ours; nothing has changed by it."""
        self.counts["decode_errors"] += 1
        log_event(
            logger,
            logging.WARNING,
            "request_decode_failed",
            reason=reason,
            count=self.counts["decode_errors"],
        )

    def handle_request(self, client: IncomingConnection, request: m.QuorumRequest) -> None:
        """A request has come."""
        if self.exit_status:
            return
        answer, changes = self.acceptor.handle(request, (self.loop.now() - self._started_at) / 1000.0)
        self.counts["requests"] += 1
        self.counts["ballot_conflicts"] += isinstance(answer, m.BallotConflictReply)
        self._merge_changes(changes)
        if not self._pending_replies:
            self.loop.call_at(self.loop.now(), self._commit)
        # also one that changes nothing waits: it may rest on what is not on the disk yet
        self._pending_replies.append((client, answer))

    def _merge_changes(self, changes: StateChanges) -> None:
        kept = self._pending_changes
        if changes.epoch_installed:
            kept.register_states.clear()
        kept.register_states |= changes.register_states
        kept.known_starts |= changes.known_starts
        kept.epoch_installed, kept.epoch_sealed = (
            kept.epoch_installed or changes.epoch_installed,
            kept.epoch_sealed or changes.epoch_sealed,
        )

    def _commit(self) -> None:
        if self.exit_status:
            return
        changes, answers = self._pending_changes, self._pending_replies
        self._pending_changes, self._pending_replies = StateChanges(), []
        if changes and not self._save_changes(changes):
            return
        for caller, answer in answers:
            caller.send(codec.encode_frame(answer, self.key))
        self._announce_voting()

    def _save_changes(self, changes: StateChanges) -> bool:
        try:
            self.store.save(changes)
        except (sqlite3.Error, OSError) as problem:
            log_event(
                logger,
                logging.CRITICAL,
                "replica_storage_failed",
                folder=self.store.folder.path,
                text=problem,
            )
            self.exit_status = EXIT_DISK_FAILED
            self.loop.stop()
            return False
        self.counts["commits"] += 1
        if changes.epoch_installed and self.store.state.quorum is not None:
            quorum = self.store.state.quorum
            members = ",".join(one.name for one in quorum.members)
            log_event(logger, logging.INFO, "replica_epoch_installed", epoch=quorum.epoch, members=members)
        return True

    def _announce_voting(self) -> None:
        if self.acceptor.is_voting and not self._voting_announced:
            self._voting_announced = True
            log_event(
                logger,
                logging.INFO,
                "replica_voting",
                name=self.name,
                start_count=self.store.state.start_count,
            )

    # -- the others

    def _send_restart_checks(self) -> None:
        self._last_request_id += 1
        greeting = self.acceptor.make_restart_check(self._last_request_id)
        if greeting is not None:
            for link in self.peers.values():
                link.send(greeting)
        self.loop.call_after(
            RESTART_CHECK_INTERVAL_MS if self.acceptor.is_voting else INITIAL_RESTART_CHECK_INTERVAL_MS,
            self._send_restart_checks,
        )

    def _is_in_grace_period(self) -> bool:
        return self.loop.now() - self._started_at < RESTART_CHECK_GRACE_MS

    def _update_voting(self, wait_for_all: bool) -> None:
        self.acceptor.update_voting(wait_for_all)
        self._announce_voting()

    def _handle_peer_reply(self, replica: str, reply: m.QuorumReply) -> None:
        if not isinstance(reply, m.RestartCheckReply) or self.exit_status:
            return
        changes = self.acceptor.handle_restart_check_reply(reply, self._is_in_grace_period())
        if changes:
            self._merge_changes(changes)
            self._commit()
        if self.acceptor.is_stale_copy:
            self._reset_storage()
        self._announce_voting()

    def _reset_storage(self) -> None:
        """The folder is older than what the others remember: it may not vote as what it was."""
        old = self.store.state
        self.store.set_aside(secrets.token_hex(8))
        self.acceptor = Acceptor(self.name, self.store.state, secrets.token_hex(8))
        self._voting_announced = False
        self._pending_changes, self._pending_replies = StateChanges(), []
        log_event(
            logger,
            logging.ERROR,
            "replica_storage_outdated",
            name=self.name,
            previous_storage_id=old.storage_id,
            start_count=old.start_count,
            storage_id=self.store.state.storage_id,
        )

    def _log_summary(self) -> None:
        log_event(logger, logging.INFO, "replica_counters", clients=len(self.clients), **self.counts)
        self.loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)

    def stop(self) -> None:
        """End at the next moment; nothing is owed, as callers ask again elsewhere."""
        self.loop.stop()

    def run(self) -> int:
        """Serve until told to end; the exit status."""
        self.loop.add_signal_handlers({signal.SIGTERM: self.stop, signal.SIGINT: self.stop})
        self.loop.run()
        self._log_summary()
        return self.exit_status

    def close(self) -> None:
        """Let go of sockets and folder."""
        for caller in list(self.clients):
            caller.close()
        for link in self.peers.values():
            link.close()
        self.loop.unregister(self.listening_socket)
        self.listening_socket.close()
        self.store.close()
