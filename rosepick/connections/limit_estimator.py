"""Estimate of how many connections clients can hold at one time: configured, or learned by probes.

Clients do not report their own connection limit, so the router measures it by a probe. A probe starts when
clients stop opening connections while answered ones are idle, or when the number of held connections stays on
a plateau and most of them are idle. The probe closes some of the idle connections. If clients then open about
as many connections in addition to the usual ones, they had reached their limit, which is the number that they
held. Otherwise they had no requests. An estimate expires, because the openings may be a coincidence and
because the policy itself keeps clients below the estimate.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

DEFAULT_LIMIT_FRACTION = 1 / 3  # default limit before a probe, as a fraction of the descriptors
MIN_CONNECTION_LIMIT = 8
RAISE_FACTOR = 1.25  # new limit, as a multiple of the held connections, once these exceed the limit
STOP_GAP_FACTOR = 8.0  # clients have stopped after this multiple of the mean gap between openings
MIN_STOP_MS = 150.0  # minimum time without an opening before clients count as stopped
MIN_OPENING_RATE_PER_S = 10.0  # no probe starts below this rate: a stop is not significant
PLATEAU_WINDOW_MS = 500.0  # time window in which the held connections are compared
PLATEAU_TOLERANCE = 0.05  # largest relative change of the held connections on a plateau
MIN_PLATEAU_OPENINGS = 10  # minimum openings in a window that can show a plateau
MIN_INACTIVE_FRACTION = 0.5  # minimum inactive fraction of the held connections for a probe on a plateau
PROBE_WINDOW_MS = 300.0  # time for clients to open connections after the closes of a probe
MIN_REOPENED_FRACTION = 0.7  # openings beyond the usual that confirm a probe, as a fraction of its closes
NOISE_STANDARD_DEVIATIONS = 2.0  # openings beyond the usual that confirm a probe, in standard deviations
PROBE_DIVISOR = 8  # a probe closes one in this many inactive connections
MIN_PROBE_CLOSES = 2  # minimum closes of a probe
MIN_PROBE_BACKOFF_MS = 500.0  # pause after a probe without a result; doubles with each such probe
MAX_PROBE_BACKOFF_MS = 8_000.0  # longest pause after a probe without a result
MIN_ESTIMATE_TTL_MS = 10_000.0  # lifetime of the first estimate; doubles with each confirmation
MAX_ESTIMATE_TTL_MS = 300_000.0  # longest lifetime of an estimate


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """A snapshot of the clients' connections."""

    held_count: int  # connections that clients hold for requests
    inactive_count: int  # of these: answered once and not expected to be reused soon
    opening_rate_per_s: float  # connections opened each second, up to the last one
    last_opened_at: float  # when the last one was opened, milliseconds


@dataclass(frozen=True, slots=True)
class _Probe:
    """A probe in progress."""

    started_at: float
    held_count: int


class ConnectionLimitEstimator:
    """Estimates how many connections clients can hold at one time. Times are milliseconds.

    Args:
        descriptors: the maximum number of descriptors of the process.
        configured_limit: the limit set by operators; if set, the estimator does not learn.
    """

    def __init__(self, descriptors: int, configured_limit: int | None = None) -> None:
        self.reconfigure(descriptors, configured_limit)

    def reconfigure(self, descriptors: int, configured_limit: int | None) -> None:
        """Apply a changed number of descriptors or configured limit, and discard the learned limit."""
        self.configured_limit = configured_limit
        self.default_limit = (
            configured_limit
            if configured_limit is not None
            else max(MIN_CONNECTION_LIMIT, int(descriptors * DEFAULT_LIMIT_FRACTION))
        )
        self.limit = self.default_limit
        self.is_learned = False
        self._probe: _Probe | None = None
        self._openings_to_confirm = 0.0  # openings still needed to confirm the probe
        self._probe_backoff_ms = MIN_PROBE_BACKOFF_MS
        self._next_probe_at = 0.0
        self._estimate_ttl_ms = MIN_ESTIMATE_TTL_MS
        self._estimate_expires_at = inf
        self._begin_window(0.0)

    def _begin_window(self, now: float) -> None:
        """Begin a time window for the detection of a plateau."""
        self._window_began_at = now
        self._openings = 0
        self._min_held: float = inf
        self._max_held: float = 0.0

    def record_held_count(self, count: int) -> None:
        """Record how many connections clients hold; raise the limit if they hold more than it."""
        if self.configured_limit is None and count > self.limit:
            self.limit = int(RAISE_FACTOR * count) + 1
            self.is_learned = False

    def record_opening(self, now: float, held_count: int) -> None:
        """Record that a client opened a connection for a request; `held_count` includes it."""
        self._openings += 1
        self._min_held = min(self._min_held, held_count)
        self._max_held = max(self._max_held, held_count)
        if self._probe is None or now - self._probe.started_at > PROBE_WINDOW_MS:
            return
        self._openings_to_confirm -= 1
        if self._openings_to_confirm <= 0:
            self.limit = max(MIN_CONNECTION_LIMIT, self._probe.held_count)
            self.is_learned = True
            self._estimate_expires_at = now + self._estimate_ttl_ms
            self._estimate_ttl_ms = min(MAX_ESTIMATE_TTL_MS, 2 * self._estimate_ttl_ms)
            self._probe = None
            self._probe_backoff_ms = MIN_PROBE_BACKOFF_MS

    def advance_time(self, now: float) -> None:
        """Expire an old estimate, and end a probe that was not confirmed in time."""
        if now >= self._estimate_expires_at:
            self.limit = self.default_limit
            self.is_learned = False
            self._estimate_expires_at = inf
        if self._probe is not None and now - self._probe.started_at > PROBE_WINDOW_MS:
            self._probe = None  # openings stayed at the usual rate: clients had no requests
            self._probe_backoff_ms = min(MAX_PROBE_BACKOFF_MS, 2 * self._probe_backoff_ms)
            self._next_probe_at = now + self._probe_backoff_ms

    def start_probe(self, now: float, activity: ClientActivity) -> int:
        """Start a probe if clients appear to have reached their own limit below the estimate.

        Returns:
            The number of inactive connections to close for the probe; 0 if no probe starts.
        """
        is_on_plateau = self._is_on_plateau(now)
        if self.configured_limit is not None or self._probe is not None or now < self._next_probe_at:
            return 0
        if (
            activity.opening_rate_per_s < MIN_OPENING_RATE_PER_S
            or not activity.inactive_count
            or not MIN_CONNECTION_LIMIT <= activity.held_count < self.limit
        ):
            return 0
        stop_gap_ms = STOP_GAP_FACTOR * 1000.0 / activity.opening_rate_per_s
        has_stopped = now - activity.last_opened_at >= max(MIN_STOP_MS, stop_gap_ms)
        is_mostly_inactive = activity.inactive_count >= MIN_INACTIVE_FRACTION * activity.held_count
        if not has_stopped and not (is_on_plateau and is_mostly_inactive):
            return 0
        count = min(activity.inactive_count, max(MIN_PROBE_CLOSES, activity.inactive_count // PROBE_DIVISOR))
        usual_openings = 0.0 if has_stopped else activity.opening_rate_per_s * PROBE_WINDOW_MS / 1000.0
        self._openings_to_confirm = usual_openings + max(
            MIN_REOPENED_FRACTION * count, NOISE_STANDARD_DEVIATIONS * sqrt(usual_openings)
        )
        self._probe = _Probe(now, activity.held_count)
        return count

    def _is_on_plateau(self, now: float) -> bool:
        """Return whether a time window ends now in which the held connections stayed almost constant."""
        if now - self._window_began_at < PLATEAU_WINDOW_MS:
            return False
        change = self._max_held - self._min_held
        is_on_plateau = self._openings >= MIN_PLATEAU_OPENINGS and change <= max(
            1.0, PLATEAU_TOLERANCE * self._max_held
        )
        self._begin_window(now)
        return is_on_plateau
