"""Maps the names of log events and fields before 0.3.0 to the present names.

All readers of logs use `parse_record`, so that they need only the present names and can still read the logs
of older routers.
"""

from __future__ import annotations

import re

from ..logs import parse_log_fields

_EVENT_PATTERN = re.compile(r" event=(\w+)")

PARTS = {
    "net.pool": "net.upstream_pool",
    "net.beside": "net.process_handover",
    "net.tended": "coordination.supervised_process",
    "net.watch": "net.endpoint_watch",
    "net.loop": "net.event_loop",
    "net.errand": "coordination.leased_command",
    "net.links": "coordination.quorum_connection",
    "net.sender_link": "net.downstream_connection",
    "net.releasing": "coordination.artifact_store",
    "net.seats": "net.process_registry",
    "net.witness": "coordination.acceptor_server",
    "net.ops": "net.admin_listener",
    "net.quorum": "coordination.quorum_client",
    "net.leasing": "coordination.lease_holder",
    "net.agent": "coordination.agent_driver",
    "net.capture": "net.capture_output",
    "net.multiget": "net.batch_listener",
    "lab.live.client_links": "lab.live.client_connections",
    "lab.live.discovery": "lab.live.discovery_server",
    "lab.live.nodes": "lab.live.node_server",
}
"""Present values of the `part` field, by old value."""
EVENTS = {
    "witness_started": "replica_started",
    "witness_unreadable": "request_decode_failed",
    "witness_older": "replica_storage_outdated",
    "witness_counts": "replica_counters",
    "witness_copied": "replica_storage_copied",
    "witness_epoch": "replica_epoch_installed",
    "witness_votes": "replica_voting",
    "witness_disk_failed": "replica_storage_failed",
    "member": "member_phase_changed",
    "warden": "failure_detector_elected",
    "release_step": "rollout_step",
    "releases_unreadable": "rollout_state_decode_failed",
    "version_refused": "artifact_rejected",
    "version_fetched": "artifact_fetched",
    "settings_not_written": "settings_write_failed",
    "lease_not_had": "lease_wait_timed_out",
    "command_ended": "command_terminated",
    "command_not_started": "command_start_failed",
    "two_fleets": "fleet_id_mismatch",
    "answer_unreadable": "reply_decode_failed",
    "member_found": "member_adopted",
    "member_ended": "member_exited",
    "member_told_to_end": "member_terminating",
    "member_not_started": "member_start_failed",
    "module": "decision_message",
    "delivery_fault": "attempt_fault",
    "answer_fault": "response_fault",
    "invariant_broken": "invariant_violated",
    "discovery_stand_in_fault": "discovery_server_fault",
    "stand_in_fault": "node_server_fault",
    "ops_serving": "admin_serving",
    "part_fault": "batch_part_fault",
    "part_not_sent": "batch_part_not_sent",
    "rejected": "request_rejected",
    "sender_fault": "downstream_fault",
    "loop_fault": "event_loop_fault",
    "crowd_began": "connection_pressure_started",
    "room_made_in_vain": "evictions_unclaimed",
    "crowd_ended": "connection_pressure_ended",
    "beside": "peer_processes_changed",
    "knowledge_taken": "state_imported",
    "knowledge_unusable": "state_import_failed",
    "no_seat": "process_registration_failed",
    "knowledge_not_left": "state_export_failed",
    "seat_not_written": "process_entry_write_failed",
    "multiget_serving": "batch_serving",
    "ended": "shutdown_completed",
    "map_told": "endpoints_updated",
    "reloaded": "config_reloaded",
    "ending": "shutdown_started",
    "counts": "counters",
    "ends": "request_outcomes",
    "reload_failed": "config_reload_failed",
    "answer_cut": "response_truncated",
    "no_socket_for_dial": "connect_without_descriptor",
    "next_hop_broke": "upstream_connection_failed",
    "next_hop_fault": "upstream_fault",
    "quorum_found": "quorum_recovered",
    "lease_waits": "lease_waiting",
    "lease_holds": "lease_held",
}
"""Present names of events, by old name."""
FIELDS = {
    "replica_started": {"storage": "storage_id", "starts": "start_count", "votes": "is_voting"},
    "request_decode_failed": {"why": "reason"},
    "replica_storage_outdated": {"was": "previous_storage_id", "starts": "start_count", "now": "storage_id"},
    "replica_counters": {"callers": "clients", "unreadable": "decode_errors", "beaten": "ballot_conflicts"},
    "replica_storage_copied": {"now": "storage_id"},
    "replica_voting": {"starts": "start_count"},
    "drains_halted": {"why": "reason"},
    "member_phase_changed": {"name": "member", "at": "phase"},
    "rollout_step": {"what": "action", "why": "reason"},
    "artifact_rejected": {"blame": "cause", "why": "reason"},
    "lease_in_doubt": {"left_ms": "remaining_ms"},
    "lease_wait_timed_out": {"known": "quorum_responded"},
    "command_terminated": {"left_ms": "remaining_ms"},
    "fleet_id_mismatch": {"ours": "fleet_id", "theirs": "other_fleet_id"},
    "reply_decode_failed": {"witness": "replica", "why": "reason"},
    "engine_fault": {"over": "module_event"},
    "response_fault": {"kind": "response"},
    "batch_refused": {"in_hand": "active_batches"},
    "timer_late": {"by_ms": "delay_ms"},
    "connections": {"may_hold": "capacity", "asks": "requests"},
    "accept_paused": {"used": "open_descriptors"},
    "connection_pressure_started": {
        "by": "reason",
        "may_hold": "capacity",
        "learned": "capacity_learned",
        "opening_per_s": "open_rate_per_s",
        "fill_ms": "time_until_full_ms",
        "wait_once_ms": "idle_used_once_ms",
        "wait_often_ms": "idle_reused_ms",
    },
    "evictions_unclaimed": {"times": "count"},
    "accept_queue_overflowed": {
        "door": "listener",
        "machine": "host_overflows",
        "waiting": "queue_length",
        "most": "queue_limit",
    },
    "accept_failed": {"used": "open_descriptors"},
    "connection_pressure_ended": {"lasted_ms": "duration_ms"},
    "peer_processes_changed": {"others": "peers"},
    "endpoints_updated": {"rev": "revision", "hops": "endpoints"},
    "config_reloaded": {"sockets": "max_descriptors"},
    "shutdown_started": {"owed": "pending_requests"},
    "counters": {
        "owed": "pending_requests",
        "sockets": "open_descriptors",
        "rejected": "rejected_requests",
        "callers": "admin_clients",
        "loop_faults": "event_loop_faults",
        "envelopes": "requests",
        "crossings": "cross_zone_attempts",
        "dials": "upstream_connects",
        "late_unsent": "late_without_attempt",
        "gone": "client_gone",
        "broke": "internal_error",
    },
    "response_truncated": {"server": "endpoint", "came": "received_bytes", "length": "content_length"},
    "connect_without_descriptor": {"server": "endpoint", "used": "open_descriptors"},
    "upstream_connection_failed": {"server": "endpoint"},
    "upstream_fault": {"server": "endpoint"},
    "invariant_violated": {"server": "endpoint"},
}
"""Present names of fields, by present event name and old field name."""
ATTEMPT_RESULTS = {
    "full": "busy",
    "moot": "never_sent",
    "no_place": "connection_limit",
    "unfit": "invalid",
    "spoilt": "malformed",
}
"""Present suffixes of `attempt_` fields in `counters`, by old suffix."""
OUTCOMES = {
    "late": "deadline_exceeded",
    "gone": "client_gone",
    "broke": "internal_error",
}
"""Present names of request outcomes in `request_outcomes`, by old name."""
OUTCOME_CAUSES = {
    "crowded": "overloaded",
    "slow": "too_slow",
    "nobody": "no_endpoint",
    "queue": "queue_timeout",
    "rules": "not_permitted",
    "spent": "body_consumed",
    "unfit": "invalid",
}
"""Present names of the cause that follows an outcome, by old name."""
CONNECTION_KINDS = {
    "asking": "active",
    "fresh": "unused",
    "once": "used_once",
    "often": "reused",
    "half": "partial_requests",
}
"""Present names of connection kinds, by old name."""
CLOSE_REASONS = {
    "client": "client_closed",
    "broke": "connection_lost",
    "answered": "not_worth_keeping",
    "room": "capacity",
    "need": "descriptors",
    "address": "address_quota",
    "silent": "no_request",
    "idle": "idle_timeout",
    "half": "stalled_request",
    "slow": "slow_client",
    "cut": "truncated_response",
    "rejected": "bad_request",
    "fault": "internal_error",
    "ending": "shutdown",
}
"""Present suffixes of `closed_` fields, by old suffix."""
DESCRIPTOR_USES = {
    "doors": "downstream",
    "next_hops": "upstream",
    "batches": "batch",
    "discovery": "discovery",
}
"""Present suffixes of `descriptors_` fields, by the old suffix of `sockets_` fields."""


def parse_record(line: str) -> dict[str, str]:
    """Return the fields of a log line of any version, under their present names."""
    fields = parse_log_fields(line)
    if "event" not in fields:
        return fields
    old_event = fields["event"]
    event = fields["event"] = EVENTS.get(old_event, old_event)
    if "part" in fields:
        fields["part"] = PARTS.get(fields["part"], fields["part"])
    return {_field_name(event, name): value for name, value in fields.items()}


def line_has_event(line: str, event: str) -> bool:
    """Return whether a log line of any version is of an event, given by its present name."""
    match = _EVENT_PATTERN.search(line)
    return match is not None and EVENTS.get(match[1], match[1]) == event


def _field_name(event: str, name: str) -> str:
    """Return the present name of a field, for an event given by its present name."""
    if name == "held_back":
        return "suppressed"
    renamed = FIELDS.get(event, {}).get(name)
    if renamed is not None:
        return renamed
    if event == "request_outcomes":
        return _outcome_field(name)
    if event == "counters" and name.startswith("attempt_"):
        result = name.removeprefix("attempt_")
        return "attempt_" + ATTEMPT_RESULTS.get(result, result)
    if event in (
        "connections",
        "connection_pressure_started",
        "connection_pressure_ended",
        "evictions_unclaimed",
    ):
        return _connection_field(name)
    return name


def _outcome_field(name: str) -> str:
    """Return the present name of a count or duration of requests, such as the old `late_rules_ms`."""
    unit = "_ms" if name.endswith("_ms") else ""
    outcome, separator, cause = name.removesuffix("_ms").partition("_")
    if outcome not in ("served", "refused", "failed", *OUTCOMES):
        return name
    return OUTCOMES.get(outcome, outcome) + separator + OUTCOME_CAUSES.get(cause, cause) + unit


def _connection_field(name: str) -> str:
    """Return the present name of a count of connections or descriptors."""
    prefix, _, rest = name.partition("_")
    if prefix == "closed":
        return "closed_" + CLOSE_REASONS.get(rest, rest)
    if prefix == "door":
        return "listener_" + rest
    if prefix == "sockets":
        return "descriptors_" + DESCRIPTOR_USES.get(rest, rest)
    return CONNECTION_KINDS.get(name, name)
