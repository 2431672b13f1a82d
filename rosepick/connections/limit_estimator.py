"""How many connections clients may hold: told, or learned from where they stop.

Nobody says where a client's own limit is. It shows by a trial. What calls for one: clients that were opening
connections stop while answered ones stand still, or what they hold is pinned to one height and most of it
stands still. Then some of those that stand still are closed. If that many more than usual are opened at once,
clients were held up: the height is their limit. If not, it was a lull. What was learned lapses after a while,
as it may have been chance, and the policy itself keeps clients below it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

DEFAULT_LIMIT_FRACTION = 1 / 3  # of the descriptors: the first guess, before anything is learned
MIN_CONNECTION_LIMIT = 8
RAISE_FACTOR = 1.25  # where more is held than was believed, so much more than that may be
STOP_GAP_FACTOR = 8.0  # so many usual gaps between openings without one ...
MIN_STOP_MS = 150.0  # ... and at least so many milliseconds: that is no chance
MIN_OPENING_RATE_PER_S = 10.0  # openings a second; where there were fewer before, a stop says nothing
PLATEAU_WINDOW_MS = 500.0  # milliseconds in which what is held ...
PLATEAU_TOLERANCE = 0.05  # ... moves by no more than this part ...
MIN_PLATEAU_OPENINGS = 10  # ... though so many were opened
MIN_INACTIVE_FRACTION = 0.5  # of what is held, while it is pinned
PROBE_WINDOW_MS = 300.0  # milliseconds for clients to open again after a close
MIN_REOPENED_FRACTION = 0.7  # of what a trial closed is opened beyond the usual, at least ...
NOISE_STANDARD_DEVIATIONS = 2.0  # ... and so many standard deviations of the usual
MIN_PROBE_BACKOFF_MS, MAX_PROBE_BACKOFF_MS = 500.0, 8_000.0  # between trials that showed nothing
MIN_ESTIMATE_TTL_MS, MAX_ESTIMATE_TTL_MS = (
    10_000.0,
    300_000.0,
)  # what is learned holds so long; longer if shown again


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """What clients do at one moment."""

    held_count: int  # by clients, for requests
    inactive_count: int  # of these: answered once, and not expected to ask soon
    opening_rate_per_s: float  # openings a second, up to the last one
    last_opened_at: float  # when that was


class ConnectionLimitEstimator:
    """What clients may hold at one time, as far as that is known."""

    def __init__(self, descriptors: int, configured_limit: int | None = None) -> None:
        self.reconfigure(descriptors, configured_limit)

    def reconfigure(self, descriptors: int, configured_limit: int | None) -> None:
        """Another limit of descriptors, or another word of the operators: what was learned counts no more."""
        self.configured_limit = configured_limit
        self.default_limit = (
            configured_limit
            if configured_limit is not None
            else max(MIN_CONNECTION_LIMIT, int(descriptors * DEFAULT_LIMIT_FRACTION))
        )
        self.limit = self.default_limit
        self.is_learned = False
        self._probe: tuple[float, int] | None = None  # a trial that is on: when, what was held
        self._openings_to_confirm = 0.0  # openings that would confirm it
        self._probe_backoff_ms, self._next_probe_at = MIN_PROBE_BACKOFF_MS, 0.0
        self._estimate_ttl_ms, self._estimate_expires_at = MIN_ESTIMATE_TTL_MS, inf
        self._begin_window(0.0)

    def _begin_window(self, now: float) -> None:
        """A span in which it is seen whether what is held is pinned."""
        self._window_began_at = now
        self._openings, self._lowest, self._highest = 0, inf, 0.0

    def record_held(self, count: int) -> None:
        """So many are held at this moment: if it is more than was believed, nothing is known but that."""
        if self.configured_limit is None and count > self.limit:
            self.limit, self.is_learned = int(RAISE_FACTOR * count) + 1, False

    def record_opening(self, now: float, held_count: int) -> None:
        """A client opened a connection for a request, and so many are held now."""
        self._openings += 1
        self._lowest, self._highest = min(self._lowest, held_count), max(self._highest, held_count)
        if self._probe is None or now - self._probe[0] > PROBE_WINDOW_MS:
            return
        self._openings_to_confirm -= 1
        if self._openings_to_confirm <= 0:
            self.limit, self.is_learned = max(MIN_CONNECTION_LIMIT, self._probe[1]), True
            self._estimate_expires_at = now + self._estimate_ttl_ms
            self._estimate_ttl_ms = min(MAX_ESTIMATE_TTL_MS, 2 * self._estimate_ttl_ms)
            self._probe, self._probe_backoff_ms = None, MIN_PROBE_BACKOFF_MS

    def advance_time(self, now: float) -> None:
        """Time has passed."""
        if now >= self._estimate_expires_at:
            self.limit, self.is_learned, self._estimate_expires_at = self.default_limit, False, inf
        if self._probe is not None and now - self._probe[0] > PROBE_WINDOW_MS:
            self._probe = None  # no more came than usual: it was a lull
            self._probe_backoff_ms = min(MAX_PROBE_BACKOFF_MS, 2 * self._probe_backoff_ms)
            self._next_probe_at = now + self._probe_backoff_ms

    def start_probe(self, now: float, activity: ClientActivity) -> int:
        """How many connections that stand still are to be closed as a trial, as clients seem to stand at a
        limit of their own that is lower than what is believed; mostly 0.
        """
        pinned = self._is_plateau(now)
        if self.configured_limit is not None or self._probe is not None or now < self._next_probe_at:
            return 0
        if (
            activity.opening_rate_per_s < MIN_OPENING_RATE_PER_S
            or not activity.inactive_count
            or not MIN_CONNECTION_LIMIT <= activity.held_count < self.limit
        ):
            return 0
        stopped = now - activity.last_opened_at >= max(
            MIN_STOP_MS, STOP_GAP_FACTOR * 1000.0 / activity.opening_rate_per_s
        )
        if not stopped and not (
            pinned and activity.inactive_count >= MIN_INACTIVE_FRACTION * activity.held_count
        ):
            return 0
        count = min(activity.inactive_count, max(2, activity.inactive_count // 8))
        usual = 0.0 if stopped else activity.opening_rate_per_s * PROBE_WINDOW_MS / 1000.0
        self._openings_to_confirm = usual + max(
            MIN_REOPENED_FRACTION * count, NOISE_STANDARD_DEVIATIONS * sqrt(usual)
        )
        self._probe = (now, activity.held_count)
        return count

    def _is_plateau(self, now: float) -> bool:
        """Whether what was held at openings hardly moved, at the end of a span."""
        if now - self._window_began_at < PLATEAU_WINDOW_MS:
            return False
        moved = self._highest - self._lowest
        pinned = self._openings >= MIN_PLATEAU_OPENINGS and moved <= max(
            1.0, PLATEAU_TOLERANCE * self._highest
        )
        self._begin_window(now)
        return pinned
