"""The process of a replica: a listener, the acceptor with its store, and connections to the other replicas.

A reply is sent only after the state that it depends on is on disk. If the disk fails, the process ends
without a reply.
"""

from __future__ import annotations

import logging
import secrets
import signal
import socket
import sqlite3
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..connections.descriptor_budget import DescriptorUse
from ..consensus import codec, messages
from ..consensus.acceptor import Acceptor, StateChanges
from ..consensus.codec import DecodeError, FrameDecoder
from ..logs import log_event
from ..net.boot_clock import boottime_s
from ..net.event_loop import READ, WRITE, EventLoop
from ..net.listen_socket import listen
from ..net.resource_budget import ResourceBudget
from ..net.tcp_stream import TcpStream
from .acceptor_store import AcceptorStore
from .quorum_connection import QuorumConnection, ReplicaEndpoint, SocketAddress

logger = logging.getLogger(__name__)
# At this limit, a new connection replaces the one that has been silent for the longest time.
MAX_CLIENT_CONNECTIONS = 2_000
RESERVED_DESCRIPTORS = 64  # for the listener, the peers and the store
ACCEPT_BATCH = 64  # maximum number of connections accepted per event of the listener
BACKLOG = 512
RESTART_CHECK_INTERVAL_MS = 1_000.0
INITIAL_RESTART_CHECK_INTERVAL_MS = 100.0  # used until the acceptor votes
# Within this time after a start, the replica waits for the replies of all peers; later, a majority is enough.
RESTART_CHECK_GRACE_MS = 2_000.0
SUMMARY_INTERVAL_MS = 60_000.0
EXIT_DISK_FAILED = 3


class IncomingConnection:
    """Is a connection that a client or another replica has opened."""

    def __init__(self, server: AcceptorServer, sock: socket.socket) -> None:
        self.server = server
        self.frame_decoder = FrameDecoder()
        self.stream = TcpStream(
            server.loop, server.budget, sock, self._on_ready, READ, DescriptorUse.DOWNSTREAM
        )

    def _on_ready(self, events: int) -> None:
        try:
            if events & WRITE:
                self.stream.flush()
            if events & READ:
                self._read()
            self.update_interest()
        except OSError:
            self.close()
        except DecodeError as error:
            self.server.record_decode_error(error.reason)
            self.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if not data:
            raise OSError("closed")
        self.server.clients[self] = self.server.clients.pop(self)  # moves it to the end: the most recent
        for frame in self.frame_decoder.feed(data):
            self.server.handle_request(self, codec.decode_request(frame, self.server.key))

    def send(self, frame: bytes) -> None:
        """Send a reply, or drop it if the connection is closed."""
        if not self.stream.is_open:
            return
        try:
            self.stream.send(frame)
            self.update_interest()
        except OSError:
            self.close()

    def update_interest(self) -> None:
        """Wait for input, and also for output while there is unwritten data."""
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def close(self) -> None:
        """Close the connection."""
        self.server.clients.pop(self, None)
        self.stream.close()


@dataclass(frozen=True, slots=True)
class PendingReply:
    """Holds a reply until the state that it depends on is on disk."""

    client: IncomingConnection
    reply: messages.QuorumReply


class AcceptorServer:
    """Serves one acceptor of the quorum (the command `rosepick witness`).

    Raises:
        StoreError: The folder cannot be used.
    """

    def __init__(
        self,
        name: str,
        replicas: Mapping[str, SocketAddress],
        key: bytes,
        folder: Path,
        loop: EventLoop | None = None,
    ) -> None:
        self.loop = loop = loop or EventLoop(boottime_s)
        self.name = name
        self.key = key
        self.store = AcceptorStore(folder, secrets.token_hex(8))
        self.acceptor = Acceptor(name, self.store.state, secrets.token_hex(8))
        self.budget = ResourceBudget(MAX_CLIENT_CONNECTIONS + RESERVED_DESCRIPTORS)
        self.clients: dict[IncomingConnection, None] = {}
        self.exit_status = 0
        self.counts = dict.fromkeys(("requests", "commits", "decode_errors", "ballot_conflicts"), 0)
        self._started_at = loop.now()
        self._last_request_id = 0
        self._pending_changes = StateChanges()
        self._pending_replies: list[PendingReply] = []
        self._voting_announced = False
        self.peers = {
            peer: QuorumConnection(
                loop, self.budget, ReplicaEndpoint(peer, address, key), self._handle_peer_reply
            )
            for peer, address in replicas.items()
            if peer != name
        }
        self.listening_socket = listen(replicas[name], BACKLOG)
        loop.register(self.listening_socket, READ, self._accept_clients)
        self._log_start()
        self._send_restart_checks()
        loop.call_after(RESTART_CHECK_GRACE_MS, lambda: self._update_voting(wait_for_all=False))
        loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)

    def _log_start(self) -> None:
        state = self.store.state
        if self.store.was_copied:
            log_event(
                logger,
                logging.ERROR,
                "replica_storage_copied",
                folder=self.store.folder.path,
                storage_id=state.storage_id,
            )
        log_event(
            logger,
            logging.INFO,
            "replica_started",
            name=self.name,
            storage_id=state.storage_id,
            start_count=state.start_count,
            epoch=state.quorum.epoch if state.quorum else 0,
            registers=len(state.register_states),
            is_voting=self.acceptor.is_voting,
        )

    # -- clients

    def _accept_clients(self, _events: int) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self.listening_socket.accept()
            except OSError:
                return
            if len(self.clients) >= MAX_CLIENT_CONNECTIONS:
                next(iter(self.clients)).close()
            self.clients[IncomingConnection(self, sock)] = None

    def record_decode_error(self, reason: str) -> None:
        """Count and log a message that could not be decoded; it has no other effect."""
        self.counts["decode_errors"] += 1
        log_event(
            logger,
            logging.WARNING,
            "request_decode_failed",
            reason=reason,
            count=self.counts["decode_errors"],
        )

    def handle_request(self, client: IncomingConnection, request: messages.QuorumRequest) -> None:
        """Pass a request to the acceptor; its reply is sent after the commit."""
        if self.exit_status:
            return
        reply, changes = self.acceptor.handle(request, (self.loop.now() - self._started_at) / 1000.0)
        self.counts["requests"] += 1
        self.counts["ballot_conflicts"] += isinstance(reply, messages.BallotConflictReply)
        self._merge_changes(changes)
        if not self._pending_replies:
            self.loop.call_at(self.loop.now(), self._commit)
        # A reply without changes waits, too: it may depend on state that is not on disk yet.
        self._pending_replies.append(PendingReply(client, reply))

    def _merge_changes(self, changes: StateChanges) -> None:
        pending = self._pending_changes
        if changes.epoch_installed:
            pending.register_states.clear()
        pending.register_states |= changes.register_states
        pending.known_starts |= changes.known_starts
        pending.epoch_installed = pending.epoch_installed or changes.epoch_installed
        pending.epoch_sealed = pending.epoch_sealed or changes.epoch_sealed

    def _commit(self) -> None:
        if self.exit_status:
            return
        changes = self._pending_changes
        replies = self._pending_replies
        self._clear_pending()
        if changes and not self._save_changes(changes):
            return
        for pending in replies:
            pending.client.send(codec.encode_frame(pending.reply, self.key))
        self._announce_voting()

    def _clear_pending(self) -> None:
        self._pending_changes = StateChanges()
        self._pending_replies = []

    def _save_changes(self, changes: StateChanges) -> bool:
        try:
            self.store.save(changes)
        except (sqlite3.Error, OSError) as error:
            log_event(
                logger, logging.CRITICAL, "replica_storage_failed", folder=self.store.folder.path, text=error
            )
            self.exit_status = EXIT_DISK_FAILED
            self.loop.stop()
            return False
        self.counts["commits"] += 1
        if changes.epoch_installed and self.store.state.quorum is not None:
            quorum = self.store.state.quorum
            members = ",".join(member.name for member in quorum.members)
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

    # -- other replicas

    def _send_restart_checks(self) -> None:
        self._last_request_id += 1
        request = self.acceptor.make_restart_check(self._last_request_id)
        if request is not None:
            for peer in self.peers.values():
                peer.send(request)
        self.loop.call_after(
            RESTART_CHECK_INTERVAL_MS if self.acceptor.is_voting else INITIAL_RESTART_CHECK_INTERVAL_MS,
            self._send_restart_checks,
        )

    def _is_in_grace_period(self) -> bool:
        return self.loop.now() - self._started_at < RESTART_CHECK_GRACE_MS

    def _update_voting(self, wait_for_all: bool) -> None:
        self.acceptor.update_voting(wait_for_all)
        self._announce_voting()

    def _handle_peer_reply(self, _replica: str, reply: messages.QuorumReply) -> None:
        if not isinstance(reply, messages.RestartCheckReply) or self.exit_status:
            return
        changes = self.acceptor.handle_restart_check_reply(reply, self._is_in_grace_period())
        if changes:
            self._merge_changes(changes)
            self._commit()
        if self.acceptor.is_stale_copy:
            self._reset_storage()
        self._announce_voting()

    def _reset_storage(self) -> None:
        """Start a new storage, because the other replicas know of a later start of the current one."""
        old = self.store.state
        self.store.replace_storage(secrets.token_hex(8))
        self.acceptor = Acceptor(self.name, self.store.state, secrets.token_hex(8))
        self._voting_announced = False
        self._clear_pending()
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
        """Stop the event loop; pending replies are dropped, because clients retry with other replicas."""
        self.loop.stop()

    def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a disk failure, and return the exit status."""
        self.loop.add_signal_handlers({signal.SIGTERM: self.stop, signal.SIGINT: self.stop})
        self.loop.run()
        self._log_summary()
        return self.exit_status

    def close(self) -> None:
        """Close all sockets and the store."""
        for client in list(self.clients):
            client.close()
        for peer in self.peers.values():
            peer.close()
        self.loop.unregister(self.listening_socket)
        self.listening_socket.close()
        self.store.close()
