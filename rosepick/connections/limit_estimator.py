"""How many connections clients may hold at one time: configured, or learned from where they stop opening.

Nobody reports a client's own limit. A probe shows it. There are two occasions for one: clients that were
opening connections stop while answered ones are idle, or the number that they hold stays on a plateau and
most of them are idle. Then some of the idle ones are closed. If that many more than usual are opened at once,
clients were held up, and what they held is their limit. If not, it was a lull. An estimate expires after a
while, as it may have been chance, and the policy itself keeps clients below it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

DEFAULT_LIMIT_FRACTION = 1 / 3  # of the descriptors: the limit before anything is learned
MIN_CONNECTION_LIMIT = 8
RAISE_FACTOR = 1.25  # where more is held than the limit, the new limit as a multiple of what is held
STOP_GAP_FACTOR = 8.0  # usual gaps between openings that pass without one: not by chance ...
MIN_STOP_MS = 150.0  # ... if it takes at least this long
MIN_OPENING_RATE_PER_S = 10.0  # below this rate a stop shows nothing
PLATEAU_WINDOW_MS = 500.0  # the time window in which what is held is compared
PLATEAU_TOLERANCE = 0.05  # the change of what is held, as a fraction, on a plateau
MIN_PLATEAU_OPENINGS = 10  # openings in a window that can show a plateau
MIN_INACTIVE_FRACTION = 0.5  # of what is held on a plateau
PROBE_WINDOW_MS = 300.0  # time for clients to open connections after a probe's closes
MIN_REOPENED_FRACTION = 0.7  # of a probe's closes that must be opened beyond the usual, at least ...
NOISE_STANDARD_DEVIATIONS = 2.0  # ... and so many standard deviations of the usual
PROBE_FRACTION = 8  # a probe closes one in so many of the inactive connections ...
MIN_PROBE_CLOSES = 2  # ... and at least so many
MIN_PROBE_BACKOFF_MS = 500.0  # between probes that showed nothing; doubled with each of them
MAX_PROBE_BACKOFF_MS = 8_000.0
MIN_ESTIMATE_TTL_MS = 10_000.0  # the lifetime of an estimate; doubled each time it is confirmed
MAX_ESTIMATE_TTL_MS = 300_000.0


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """What clients do at one moment."""

    held_count: int  # connections that clients hold for requests
    inactive_count: int  # of these: answered once, and not expected to send a request soon
    opening_rate_per_s: float  # connections opened each second, up to the last one
    last_opened_at: float  # when the last one was opened, milliseconds


@dataclass(frozen=True, slots=True)
class _Probe:
    """A probe that is in progress."""

    started_at: float
    held_count: int


class ConnectionLimitEstimator:
    """How many connections clients may hold at one time. Times are milliseconds.

    Args:
        descriptors: how many descriptors the process may hold.
        configured_limit: the operators' limit, with which nothing is learned.
    """

    def __init__(self, descriptors: int, configured_limit: int | None = None) -> None:
        self.reconfigure(descriptors, configured_limit)

    def reconfigure(self, descriptors: int, configured_limit: int | None) -> None:
        """Apply another number of descriptors or configured limit, and forget what was learned."""
        self.configured_limit = configured_limit
        self.default_limit = (
            configured_limit
            if configured_limit is not None
            else max(MIN_CONNECTION_LIMIT, int(descriptors * DEFAULT_LIMIT_FRACTION))
        )
        self.limit = self.default_limit
        self.is_learned = False
        self._probe: _Probe | None = None
        self._openings_to_confirm = 0.0  # openings that are missing to confirm the probe
        self._probe_backoff_ms = MIN_PROBE_BACKOFF_MS
        self._next_probe_at = 0.0
        self._estimate_ttl_ms = MIN_ESTIMATE_TTL_MS
        self._estimate_expires_at = inf
        self._begin_window(0.0)

    def _begin_window(self, now: float) -> None:
        """Begin a time window in which a plateau can show."""
        self._window_began_at = now
        self._openings = 0
        self._lowest: float = inf
        self._highest: float = 0.0

    def record_held(self, count: int) -> None:
        """Record how many connections clients hold; more than the limit disproves the limit."""
        if self.configured_limit is None and count > self.limit:
            self.limit = int(RAISE_FACTOR * count) + 1
            self.is_learned = False

    def record_opening(self, now: float, held_count: int) -> None:
        """Record that a client opened a connection for a request, and how many are held with it."""
        self._openings += 1
        self._lowest = min(self._lowest, held_count)
        self._highest = max(self._highest, held_count)
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
        """Let an estimate expire, and end a probe that showed nothing."""
        if now >= self._estimate_expires_at:
            self.limit = self.default_limit
            self.is_learned = False
            self._estimate_expires_at = inf
        if self._probe is not None and now - self._probe.started_at > PROBE_WINDOW_MS:
            self._probe = None  # no more were opened than usual: it was a lull
            self._probe_backoff_ms = min(MAX_PROBE_BACKOFF_MS, 2 * self._probe_backoff_ms)
            self._next_probe_at = now + self._probe_backoff_ms

    def start_probe(self, now: float, activity: ClientActivity) -> int:
        """Start a probe if clients seem to have reached a limit of their own below the estimate.

        Returns:
            How many inactive connections are to be closed for it; 0 if there is no probe.
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
        count = min(activity.inactive_count, max(MIN_PROBE_CLOSES, activity.inactive_count // PROBE_FRACTION))
        usual = 0.0 if has_stopped else activity.opening_rate_per_s * PROBE_WINDOW_MS / 1000.0
        self._openings_to_confirm = usual + max(
            MIN_REOPENED_FRACTION * count, NOISE_STANDARD_DEVIATIONS * sqrt(usual)
        )
        self._probe = _Probe(now, activity.held_count)
        return count

    def _is_on_plateau(self, now: float) -> bool:
        """Return whether what was held at openings hardly changed, at the end of a time window."""
        if now - self._window_began_at < PLATEAU_WINDOW_MS:
            return False
        change = self._highest - self._lowest
        is_on_plateau = self._openings >= MIN_PLATEAU_OPENINGS and change <= max(
            1.0, PLATEAU_TOLERANCE * self._highest
        )
        self._begin_window(now)
        return is_on_plateau
