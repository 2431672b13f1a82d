"""The common part of all baseline policies: endpoint list, attempts, retries and final answers.

A baseline policy has the interface of `rosepick.decisions.api`, like the real `Router`, and follows the same
rules, so that both can be compared; only the choice of the cache node differs. It does not adapt to
observations, refuses no request early, and ignores zones, sizes and warm-up (it does not observe the cold
budget). Times are milliseconds. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from hashlib import blake2b
from math import inf

from ...decisions import api
from ...decisions.api import NEVER_RAN, Mode, Result
from .membership import Membership, PolicyNode
from .policy_request import PolicyAttempt, PolicyRequest
from .timers import ATTEMPT_TIMER, DEADLINE_TIMER, DISCOVERY_TIMER, TIMER_KIND_MASK

RETRY_CREDIT_PER_REQUEST = 0.2  # retries that each request adds to the retry budget
MAX_RETRY_CREDIT = 12.0  # most retries that the retry budget holds, for a burst
ATTEMPT_TIMEOUT_SHARE = 0.5  # timeout of an attempt, as a share of the time left or the objective, if less
DEADLINE_MARGIN_MS = 0.001  # a request this close to its deadline is late: the deadline may be rounded up


def hash64(*numbers: int) -> int:
    """Return a 64-bit hash of numbers that, unlike `hash`, is the same in every process."""
    return int.from_bytes(blake2b(repr(numbers).encode(), digest_size=8).digest(), "big")


class BaselinePolicy:
    """A router with a baseline policy. Subclasses choose the cache node of each attempt."""

    def __init__(self, settings: api.RouterSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.membership = Membership(settings, self.rng)
        self.requests: dict[int, PolicyRequest] = {}
        self.retry_credit = MAX_RETRY_CREDIT
        self.started = False
        self.now = 0.0
        self.actions: list[api.Action] = []

    def pick(self, request: PolicyRequest, candidates: Sequence[PolicyNode], /) -> PolicyNode:
        """Return the cache node for the next attempt of a request.

        There is at least one candidate. Candidates are ready, in the order of their numbers, and untried
        unless all allowed nodes were tried.
        """
        raise NotImplementedError

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event, and return the resulting actions in the order in which they are to be done."""
        self.now = now
        self.actions = []
        if not self.started:
            self.started = True
            self.actions += self.membership.subscribe(now)
        match event:
            case api.RequestArrived():
                self._on_request(event)
            case api.AttemptEnded():
                self._on_outcome(event)
            case api.TimerFired():
                self._on_timer(event.token)
            case api.EndpointUpdate():
                self.actions += self.membership.apply(now, event)
            case api.FirstByte():
                self._on_client_done(event.ref, stream=True)
            case api.ClientDisconnected():
                self._on_client_done(event.ref)
        return self.actions

    def origins_for(self, request: PolicyRequest) -> Sequence[PolicyNode]:
        """Return the origins to which a request may be sent: the untried ones, or all if none is untried."""
        allowed = request.nodes_in_repeat_group(self.membership.origins)
        return request.untried_nodes(allowed) or allowed

    # ------------------------------------------------------------------------------------ events

    def _on_request(self, event: api.RequestArrived) -> None:
        if event.ref in self.requests:
            return
        classes = self.settings.classes
        request_class = classes[event.class_index] if event.class_index < len(classes) else classes[0]
        deadline = self.now + max(0.0, event.time_left_ms)
        is_aside_write = event.is_write and self.settings.mode is Mode.ASIDE
        request = PolicyRequest(event, request_class, deadline, is_aside_write)
        self.requests[event.ref] = request
        self.retry_credit = min(MAX_RETRY_CREDIT, self.retry_credit + RETRY_CREDIT_PER_REQUEST)
        self.actions.append(api.SetTimer(DEADLINE_TIMER | request.ref, request.deadline))
        self._start_attempt(request)

    def _on_outcome(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.ref)
        if (
            request is None
            or event.attempt >= len(request.attempts)
            or not request.attempts[event.attempt].in_flight
        ):
            return
        attempt = request.attempts[event.attempt]
        attempt.in_flight = False
        attempt.never_ran = event.result in NEVER_RAN
        attempt.node.in_flight -= 1
        if request.answered or event.closes_request:
            self._close(request)
        elif event.result is Result.MISS and self.settings.mode is Mode.ASIDE and not attempt.to_origin:
            request.at_origin = True
            self._start_attempt(request)  # no retry: in cache-aside mode a miss continues at the origin
        elif event.result is Result.INVALID:
            self._answer(request, api.Fail(request.ref))  # every endpoint would reject it
        else:
            self._start_attempt(request, price=1.0)

    def _on_timer(self, token: int) -> None:
        kind = token & TIMER_KIND_MASK
        request = self.requests.get(token & ~TIMER_KIND_MASK)
        if kind == DISCOVERY_TIMER:
            self.actions += self.membership.subscribe(self.now)
        elif request is None or request.answered:
            return
        elif kind == DEADLINE_TIMER and self._is_late(request):
            self._give_up(request)
        elif kind == ATTEMPT_TIMER and self.now >= request.attempt_timeout_at and self.retry_credit >= 1.0:
            request.attempt_timeout_at = inf  # so that the attempt is cancelled only once
            self.actions.append(api.Cancel(request.ref, len(request.attempts) - 1))

    def _on_client_done(self, ref: int, stream: bool = False) -> None:
        """Close a request after its client disconnected or, with `stream`, its response began to stream."""
        request = self.requests.get(ref)
        if request is not None:
            self._close(request, stream)

    # ---------------------------------------------------------------------------------- attempts

    def _is_late(self, request: PolicyRequest) -> bool:
        return self.now >= request.deadline - DEADLINE_MARGIN_MS

    def _start_attempt(self, request: PolicyRequest, price: float = 0.0) -> None:
        """Start the next attempt, or give up if the rules or the retry budget do not allow it.

        `price` is the number of retries to take from the retry budget.
        """
        node = self._choose_node(request) if self.retry_credit >= price and self._may_send(request) else None
        if node is None:
            self._give_up(request)
        else:
            self.retry_credit -= price
            self._send(request, node)

    def _may_send(self, request: PolicyRequest) -> bool:
        """Return whether the rules allow another attempt at any endpoint."""
        if request.answered or request.in_flight or self._is_late(request):
            return False
        return len(request.attempts) < self.settings.limits.max_attempts and request.may_repeat(self.now)

    def _choose_node(self, request: PolicyRequest) -> PolicyNode | None:
        """Return the node for the next attempt, or None if there is no allowed node."""
        if not request.at_origin:
            allowed = request.nodes_in_repeat_group(self.membership.caches)
            untried = request.untried_nodes(allowed)
            # a read goes to an origin only after it was tried at every cache node
            if untried or not request.attempts or not request.untried_nodes(self.origins_for(request)):
                candidates = untried or allowed
                return self.pick(request, candidates) if candidates else None
        origins = self.origins_for(request)
        return origins[hash64(request.hash_key) % len(origins)] if origins else None

    def _send(self, request: PolicyRequest, node: PolicyNode) -> None:
        request.at_origin = self.membership.is_origin(node)
        request.attempts.append(PolicyAttempt(node, self.now, request.at_origin))
        node.in_flight += 1
        request.attempt_timeout_at = self._attempt_deadline(request)
        if request.attempt_timeout_at == inf:
            self.actions.append(api.Send(request.ref, node.endpoint_id))
        elif self.settings.limits.allow_cancel:
            self.actions += (
                api.Send(request.ref, node.endpoint_id),
                api.SetTimer(ATTEMPT_TIMER | request.ref, request.attempt_timeout_at),
            )
        else:
            self.actions.append(api.Send(request.ref, node.endpoint_id, request.attempt_timeout_at))

    def _attempt_deadline(self, request: PolicyRequest) -> float:
        """Return the timeout, as a time, of the attempt just sent; inf if no other attempt could follow."""
        limits = self.settings.limits
        deadline = self.now + ATTEMPT_TIMEOUT_SHARE * min(
            request.deadline - self.now, request.request_class.objective_ms
        )
        # without Cancel the timeout is final: a stream, which it would truncate, and a last try have none
        must_not_stop = not limits.allow_cancel and (
            request.request_class.streaming or self.retry_credit < 1.0
        )
        if must_not_stop or len(request.attempts) >= limits.max_attempts or not request.may_repeat(deadline):
            return inf
        return deadline if self._has_untried_node(request) else inf

    def _has_untried_node(self, request: PolicyRequest) -> bool:
        """Return whether there is an allowed node that was not tried.

        A slow origin does not get the same request repeatedly: the cache loses the value of a cancelled
        fetch, although the origin may have done the work.
        """
        members = self.membership
        node_lists = (members.origins,) if request.at_origin else (members.caches, members.origins)
        return any(request.untried_nodes(request.nodes_in_repeat_group(nodes)) for nodes in node_lists)

    # ----------------------------------------------------------------------------------- final answers

    def _give_up(self, request: PolicyRequest) -> None:
        """Refuse a request that is not late and whose repeat would be harmless; otherwise fail it."""
        if (request.first_possible_execution is None or request.may_repeat_anywhere) and not self._is_late(
            request
        ):
            retry_after_ms = min(self.settings.limits.max_retry_after_ms, request.request_class.objective_ms)
            self._answer(request, api.Refuse(request.ref, retry_after_ms))
        else:
            self._answer(request, api.Fail(request.ref))

    def _answer(self, request: PolicyRequest, answer: api.Refuse | api.Fail) -> None:
        self.actions.append(answer)
        self._close(request)

    def _close(self, request: PolicyRequest, stream: bool = False) -> None:
        """Cancel the attempt in flight, and remove the request once none is in flight."""
        # as in the real router, a fetch from the origin continues, because other requests may use its value
        cancels = (
            not request.answered and request.in_flight and not request.attempts[-1].to_origin and not stream
        )
        request.answered = True
        if cancels and self.settings.limits.allow_cancel:
            self.actions.append(api.Cancel(request.ref, len(request.attempts) - 1))
        if not request.in_flight:
            self.requests.pop(request.ref, None)
