"""Explains where a request would go now and why, without sending it.

`sillctl explain` asks for it on the metrics port. Nothing is counted, and no
slot, retry or permission is taken.
"""

import collections
import math
from urllib.parse import parse_qs

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.bounded_values import parse_milliseconds
from bramleysill_kernel.load import choice_policies
from bramleysill_kernel.load import send_policy
from bramleysill_kernel.load.send_policy import Action

# Parameters of a question, each at most once.
PARAMETERS = frozenset(('host', 'path', 'key', 'left_ms'))
MAX_PARAMETERS = 8
# Choices from which the share of each candidate is estimated. They take some
# milliseconds with a hundred upstreams.
SHARE_CHOICES = 50


class Question:
    """A request that is not sent; has what decisions need of an Exchange."""

    __slots__ = (
        'host',
        'path',
        'key',
        'route',
        'service',
        'owned_range',
        'received_at',
        '_seconds_left',
    )

    def __init__(self, host, path, key, seconds_left, now):
        self.host = host
        self.path = path
        self.key = key
        self.route = None
        self.service = None
        self.owned_range = None
        self.received_at = now
        self._seconds_left = seconds_left

    def time_left(self, now):
        """Return the seconds that the caller and the route allow."""
        if self._seconds_left is None:
            return self.route.max_wait
        return min(self._seconds_left, self.route.max_wait)

    def objective(self, now):
        """Return the seconds within which an upstream should respond."""
        return min(self.route.objective, self.time_left(now))


def parse_question(query, parse_key, now):
    """Return the Question of a query string; raises ValueError."""
    fields = parse_qs(
        query,
        keep_blank_values=True,
        strict_parsing=True,
        max_num_fields=MAX_PARAMETERS,
    )
    if not fields.keys() <= PARAMETERS:
        raise ValueError(f'parameters are {", ".join(sorted(PARAMETERS))}')
    if any(len(values) > 1 for values in fields.values()):
        raise ValueError('a parameter is repeated')
    values = {name: found[0] for name, found in fields.items()}
    if not values.get('host') or not values.get('path', '/').startswith('/'):
        raise ValueError('host is missing, or path does not begin with /')
    key = seconds_left = None
    if values.get('key'):
        key = parse_key(values['key'])
        if key is None:
            raise ValueError('key is malformed')
    if values.get('left_ms'):
        seconds_left = parse_milliseconds(values['left_ms'])
        if seconds_left is None:
            raise ValueError('left_ms is malformed')
    return Question(
        values['host'], values.get('path', '/'), key, seconds_left, now
    )


class Explainer:
    """Answers questions from the state of a Frontend."""

    def __init__(self, frontend):
        self._frontend = frontend

    def explain(self, query):
        """Return the explanation as a dict; raises ValueError."""
        frontend = self._frontend
        now = frontend.loop.now()
        question = parse_question(query, frontend.adapter.parse_key, now)
        config = frontend.state.config
        found = {
            'failure_domain': frontend.choice.failure_domain,
            'config': config.version if config else None,
            'policy': frontend.choice.name,
            'route': None,
            'refusal': '',
            'services': [],
        }
        if frontend.refusing:
            found['refusal'] = refusals.ShuttingDown.code
            return found
        if config is None:
            found['refusal'] = refusals.NoState.code
            return found
        question.route = config.match(question.host, question.path)
        if question.route is None:
            found['refusal'] = refusals.UnknownService.code
            return found
        found['route'] = _route_fields(question.route)
        for weighted in question.route.services:
            question.service = config.services[weighted.service]
            found['services'].append(
                {
                    'service': weighted.service,
                    'weight': weighted.weight,
                    'keyed': question.service.keyed,
                    **self._explain_service(question, now),
                }
            )
        return found

    def _explain_service(self, question, now):
        if question.service.keyed:
            return self._explain_owner(question, now)
        return self._explain_candidates(question, now)

    # Services that are divided by key.

    def _explain_owner(self, question, now):
        frontend = self._frontend
        service = question.service.name
        found = {'key': question.key, 'owner': '', 'fence': None}
        if question.key is None:
            return {**found, **_outcome('refuse', 'give a key')}
        table = frontend.state.tables.get(service)
        if table is None:
            return {
                **found,
                **_outcome('refuse', 'the owner table has not been received'),
            }
        owned_range = question.owned_range = table.find(question.key)
        found.update(
            owner=owned_range.owner,
            fence=owned_range.fence,
            first=owned_range.first,
            last=owned_range.last,
            overload=frontend.announcer.notices(service).overload(
                question.key, owned_range.fence, now
            ),
        )
        paused = frontend.decide_paused(question, owned_range, now)
        if paused is not None:
            reason = f'keys without an owner for {paused.retry_after:.3f} s'
            outcome = 'wait' if paused.action is Action.WAIT else 'refuse'
            return {**found, **_outcome(outcome, reason)}
        entry = frontend.state.directory.owner_entry(
            owned_range.owner, owned_range.incarnation
        )
        if entry is None:
            return {
                **found,
                **_outcome('refuse', 'the owner is not available'),
            }
        peer = frontend.upstreams.peer(entry)
        found['candidates'] = [self._candidate_fields(peer, question, now)]
        if frontend.stale_owners.is_stale(service, owned_range):
            reason = 'the owner has just denied holding the key'
            return {**found, **_outcome('wait', reason)}
        if peer.replaced:
            reason = 'another process uses the address of the owner'
            return {**found, **_outcome('refuse', reason)}
        return {**found, **self._admission(peer, question, now)}

    # Shared services.

    def _explain_candidates(self, question, now):
        frontend = self._frontend
        service = question.service
        peers = [
            frontend.upstreams.peer(entry)
            for entry in frontend.state.directory.usable(service.name)
        ]
        chosen = [self._choose(question, now) for _ in range(SHARE_CHOICES)]
        counts = collections.Counter(
            peer.entry.upstream for peer in chosen if peer is not None
        )
        candidates = [
            {
                **self._candidate_fields(peer, question, now),
                'share': counts[peer.entry.upstream] / SHARE_CHOICES,
            }
            for peer in peers
        ]
        candidates.sort(key=lambda c: (-c['share'], c['upstream']))
        if chosen[0] is None:
            reason = 'no upstream of the service is available'
            outcome = _outcome('refuse', reason)
        else:
            outcome = self._admission(chosen[0], question, now)
        return {'candidates': candidates, **outcome}

    def _choose(self, question, now):
        return self._frontend.choice.choose(
            question.service, now, (), (), question.objective(now)
        )

    def _candidate_fields(self, peer, question, now):
        load = peer.load
        entry = peer.entry
        age = load.report_age(now)
        return {
            'upstream': entry.upstream,
            'failure_domain': entry.failure_domain,
            'state': _state(peer, question.objective(now), now),
            'slots': load.slots,
            'own_requests': load.in_flight,
            'expected_requests': round(load.balanced_backlog(now), 2),
            'admission_requests': round(load.backlog(now), 2),
            'slowdown': round(load.slowdown(now), 2),
            'report_age': None if age == math.inf else round(age, 3),
            'limit': peer.limit,
        }

    def _admission(self, peer, question, now):
        """Return what would happen to the request at an upstream."""
        decision = self._frontend.check_admission(peer, now, question)
        reasons = {
            Action.SEND: ('send', ''),
            Action.WAIT: ('wait', 'the upstream wants no requests yet'),
            Action.REFUSE_BUSY: ('refuse', 'the response would be late'),
            Action.REFUSE_DOWN: ('refuse', 'the upstream is unreachable'),
        }
        outcome, reason = reasons[decision.action]
        if outcome == 'send' and peer.cold_until > now:
            reason = 'slow start: only if its limit leaves room'
        elif outcome == 'send' and peer.limit is not None:
            reason = 'limited: only if its pacing router permits it'
        return {
            **_outcome(outcome, reason),
            'upstream': peer.entry.upstream,
            'expected_seconds': round(decision.expected_seconds, 3),
            'allowed_seconds': round(
                send_policy.max_upstream_seconds(
                    question.route, question.time_left(now)
                ),
                3,
            ),
            'retry_after': round(decision.retry_after, 3),
        }


def _outcome(outcome, reason):
    return {'outcome': outcome, 'reason': reason}


def _route_fields(route):
    return {
        'name': route.name,
        'host': route.host,
        'prefix': route.prefix,
        'priority': route.priority,
        'repeatability': route.repeatability.value,
        'objective': route.objective,
        'max_wait': route.max_wait,
    }


def _state(peer, objective, now):
    load = peer.load
    states = (
        ('replaced', peer.replaced),
        ('down', load.is_down(now)),
        ('closed', load.is_closed(now)),
        ('cold', peer.cold_until > now),
        ('full', choice_policies.is_full(load, now, objective)),
    )
    return next((name for name, holds in states if holds), 'open')
