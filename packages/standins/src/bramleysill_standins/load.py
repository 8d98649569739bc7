"""Open-loop load over several routers.

`python -m bramleysill_standins.load --routers HOST:PORT,... --rate N
--seconds S --kinds lookup=8,opening=1` prints the report as JSON. Requests
start when they are due, regardless of outstanding responses, and latency
counts from the intended start of a request. Otherwise a stall would delay
requests and so hide its own effect on latency (coordinated omission).
"""

import json
import random
import signal

import fire

from bramleysill_net.loop import Loop
from bramleysill_standins.arrivals import arrivals
from bramleysill_standins.caller_pool import CallerPool
from bramleysill_standins.key_pickers import key_pickers
from bramleysill_standins.kinds import PlannedRequest
from bramleysill_standins.kinds import kinds
from bramleysill_standins.tally import Tally

KEYED_KINDS = ('lookup', 'handover', 'opening')
# A refused request is retried after its Retry-After, but at the latest after
# this time.
MAX_RETRY_DELAY_SECONDS = 0.5
# Time in which the last requests must end, in addition to their timeouts.
FINISH_MARGIN_SECONDS = 10.0


class LoadSettings:
    """The load to generate; `weights` maps kinds to relative frequencies."""

    __slots__ = (
        'rate',
        'seconds',
        'weights',
        'keys',
        'seed',
        'arrivals',
        'timeout_ms',
        'max_conns',
        'retries',
        'key_picker',
    )

    def __init__(
        self,
        rate,
        seconds,
        weights,
        keys=100,
        seed=1,
        arrivals='poisson',
        timeout_ms=5000,
        max_conns=64,
        retries=0,
        key_picker='uniform',
    ):
        self.rate = rate
        self.seconds = seconds
        self.weights = weights
        self.keys = keys
        self.seed = seed
        self.arrivals = arrivals
        self.timeout_ms = timeout_ms
        self.max_conns = max_conns
        self.retries = retries
        self.key_picker = key_picker


class LoadGenerator:
    """Sends requests at their planned times and checks every response."""

    def __init__(self, loop, routers, cfg):
        self.loop = loop
        self.cfg = cfg
        self.tally = Tally(KEYED_KINDS)
        self.pool = CallerPool(loop, routers, cfg.max_conns)
        self.open_requests = 0
        self.sending = True
        self._rng = random.Random(cfg.seed)
        self._offsets = arrivals.get(cfg.arrivals)(cfg.rate, self._rng)
        self._keys = key_pickers.get(cfg.key_picker)(cfg.keys)
        self._kind_names = sorted(cfg.weights)
        self._kind_weights = [cfg.weights[name] for name in self._kind_names]
        self._started_at = 0.0
        self._number = 0

    def start(self):
        """Start to send requests."""
        self._started_at = self.loop.now()
        self._schedule()

    def stop(self):
        """Start no more requests; those in progress continue."""
        self.sending = False

    def is_done(self):
        """Return whether all requests have an outcome."""
        return not self.sending and not self.open_requests

    def _schedule(self):
        offset = next(self._offsets)
        if offset >= self.cfg.seconds:
            self.stop()
        if not self.sending:
            return
        due_at = self._started_at + offset
        self.loop.scheduler.call_at(
            due_at, lambda: self._start_request(due_at)
        )

    def _start_request(self, due_at):
        if not self.sending:
            return
        self.open_requests += 1
        self.tally.sent += 1
        self._schedule()
        self._attempt(self.make_plan(due_at))

    def make_plan(self, due_at):
        """Return the next planned request, which should start at `due_at`."""
        kind = self._rng.choices(self._kind_names, self._kind_weights)[0]
        self._number += 1
        key = (
            f'CAP-{self._keys.pick(self._rng, due_at - self._started_at):06d}'
        )
        call_id = f'{self.cfg.seed}-{self._number}'
        plan = PlannedRequest(kind, self._number, key, call_id, due_at)
        kinds.get(kind)(plan)
        return plan

    def _attempt(self, plan):
        plan.attempts += 1
        attempt = _Attempt(self, plan)
        attempt.start()

    def finish_attempt(self, plan, response, is_expired):
        """Count an attempt's outcome; retry or finish its request."""
        now = self.loop.now()
        outcome, not_run, retry_after = _classify_response(
            response, is_expired
        )
        if outcome == 'ok' and not plan.matches_response(response):
            self.tally.mixed_up.append(plan.call_id)
            outcome = 'mixed_up'
        if outcome == 'ok':
            self.tally.record_success(plan, now)
        elif not_run and self._may_retry(plan):
            self.tally.record_failure(plan, outcome)
            self.tally.retries += 1
            due_at = now + min(retry_after, MAX_RETRY_DELAY_SECONDS)
            self.loop.scheduler.call_at(due_at, lambda: self._attempt(plan))
            return
        else:
            self.tally.record_failure(plan, outcome)
            if not_run:
                self.tally.not_run.append(plan.call_id)
        self.open_requests -= 1

    def _may_retry(self, plan):
        return plan.idempotency_key and plan.attempts <= self.cfg.retries


class _Attempt:
    """One attempt at a request, with its timeout."""

    def __init__(self, generator, plan):
        self._generator = generator
        self._plan = plan
        self._pending = None
        self._timer = None
        self._is_expired = False

    def start(self):
        loop = self._generator.loop
        timeout_ms = self._generator.cfg.timeout_ms
        deadline = loop.now() + timeout_ms / 1000.0
        self._timer = loop.scheduler.call_at(deadline, self._expire)
        call = self._plan.make_call(timeout_ms)
        self._pending = self._generator.pool.send(call, self._done)

    def _expire(self):
        self._is_expired = True
        self._generator.pool.abort(self._pending)

    def _done(self, response, exc):
        self._timer.cancel()
        self._generator.finish_attempt(self._plan, response, self._is_expired)


def _classify_response(response, is_expired):
    """Return `(outcome, not_run, retry_after_seconds)`."""
    if response is None:
        return ('timeout' if is_expired else 'disconnected'), False, 0.0
    if response.status < 300:
        return 'ok', False, 0.0
    try:
        problem = json.loads(response.body)
        code = problem.get('code', 'unknown')
        not_run = problem.get('outcome') == 'not_run'
    except (ValueError, AttributeError):
        code, not_run = 'no_problem_document', False
    retry_after = response.headers.get('retry-after', '')
    retry_after = float(retry_after) if retry_after.isdecimal() else 0.0
    return f'{response.status} {code}', not_run, retry_after


def parse_weights(text):
    """Return the weights of `lookup=8,opening=1`; raises ValueError."""
    parts = (part.partition('=') for part in text.split(','))
    return {name: float(weight or 1) for name, _, weight in parts}


def parse_routers(text):
    """Return the addresses of `HOST:PORT,...`; raises ValueError."""
    parts = (part.rpartition(':') for part in text.split(','))
    return [(host, int(port)) for host, _, port in parts]


def make_report(generator):
    """Return the report of a run as a dict for JSON."""
    result = generator.tally.as_dict(generator.loop.now())
    result['failed_connects'] = generator.pool.failed_connects
    result['unsolicited'] = generator.pool.unsolicited
    result['open'] = generator.open_requests
    return result


@fire.decorators.SetParseFns(
    routers=str, kinds=str, arrivals=str, key_picker=str
)
def main(
    routers,
    rate=100.0,
    seconds=10.0,
    kinds='lookup=8,handover=1,opening=1',
    keys=100,
    seed=1,
    arrivals='poisson',
    timeout_ms=5000,
    max_conns=64,
    retries=0,
    key_picker='uniform',
):
    """Send load for some seconds, or until SIGTERM; print the report."""
    cfg = LoadSettings(
        rate,
        seconds,
        parse_weights(kinds),
        keys,
        seed,
        arrivals,
        timeout_ms,
        max_conns,
        retries,
        key_picker,
    )
    loop = Loop()
    generator = LoadGenerator(loop, parse_routers(routers), cfg)
    signal.signal(signal.SIGTERM, lambda signo, frame: generator.stop())
    print('sending', flush=True)
    generator.start()
    finish_timeout = (
        timeout_ms / 1000.0 * (retries + 1) + FINISH_MARGIN_SECONDS
    )
    loop.run_until(generator.is_done, seconds + finish_timeout)
    print(json.dumps(make_report(generator)), flush=True)


if __name__ == '__main__':
    fire.Fire(main)
