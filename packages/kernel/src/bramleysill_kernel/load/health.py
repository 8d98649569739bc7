"""Health of one upstream, from probes, responses and hints of the platform.

The dispatcher keeps one `UpstreamHealth` per upstream and calls it as follows:

- `note_result(ok, state)` when an attempt ends. `ok` is False for a refused or
  lost connection and for a timeout. It is True for any complete response, even
  with an error status, because the upstream is alive;
- when `is_probe_due()`: `note_probe_sent()`, then
  `note_probe(ok, state, epoch)` with the result. No response within
  `PROBE_TIMEOUT_SECONDS` is not ok;
- `note_hint(leaving)` from the platform's VM list. The list lags and may be
  wrong, so it only brings the next probe forward.

`condition` is used for `UpstreamReport` and `Admission.restrict`. It becomes
`suspect` after several failures in a row and `ok` again after several
successes in a row. `leaving` is only set by the upstream's own responses; it
lasts until the upstream restarts or has denied it for some time.

A probe costs the upstream about 6 ms. Recent responses give the same
information, so they lengthen the interval; a suspect upstream is probed more
often.
"""

from bramleysill_kernel.common.messages import UPSTREAM_LEAVING
from bramleysill_kernel.common.messages import UPSTREAM_OK
from bramleysill_kernel.common.messages import UPSTREAM_SUSPECT
from bramleysill_kernel.load.slow_start import STATE_LEAVING

# Failures in a row that make an upstream suspect, and successes in a row that
# make it ok again.
MIN_SUSPECT_FAILURES = 3
MIN_OK_SUCCESSES = 2
# Delayed responses may still say that a leaving upstream is not leaving. Its
# condition changes only after this time and this number of such denials.
MIN_LEAVING_SECONDS = 5.0
MIN_LEAVING_DENIALS = 3
PROBE_INTERVAL_SECONDS = 1.0
SUSPECT_PROBE_INTERVAL_SECONDS = 0.25
MAX_PROBE_INTERVAL_SECONDS = 8.0
PROBE_INTERVAL_GROWTH = 2.0
PROBE_TIMEOUT_SECONDS = 0.5
# Random spread of the intervals, as a share, so that the probes of many
# upstreams don't coincide.
PROBE_INTERVAL_JITTER = 0.1


class UpstreamHealth:
    """Condition of one upstream and the schedule of its probes."""

    __slots__ = (
        'condition',
        'epoch',
        'next_probe_at',
        '_clock',
        '_rng',
        '_failures',
        '_successes',
        '_denials',
        '_leaving_at',
        '_interval',
        '_responded_at',
        '_probe_sent_at',
    )

    def __init__(self, clock, rng):
        self.condition = UPSTREAM_OK
        self.epoch = ''
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._successes = 0
        self._denials = 0
        self._leaving_at = 0.0
        self._interval = PROBE_INTERVAL_SECONDS
        self._responded_at = None
        self._probe_sent_at = None
        self.next_probe_at = clock.now()

    def note_result(self, ok, state=''):
        """Record the end of an attempt and the response's Sill-State."""
        now = self._clock.now()
        if ok:
            self._responded_at = now
            self._note_alive(state, now)
        else:
            self._note_failure(now)

    def is_probe_due(self):
        """Return whether to send a probe now."""
        now = self._clock.now()
        if self._probe_sent_at is not None:
            return now - self._probe_sent_at > PROBE_TIMEOUT_SECONDS
        return now >= self.next_probe_at

    def note_probe_sent(self):
        """Record that a probe was sent."""
        self._probe_sent_at = self._clock.now()

    def note_probe(self, ok, state='', epoch=''):
        """Record the result of a probe and schedule the next one."""
        now = self._clock.now()
        self._probe_sent_at = None
        if not ok:
            self._note_failure(now)
        else:
            self._note_epoch(epoch)
            self._note_alive(state, now)
        self._schedule(now)

    def _note_epoch(self, epoch):
        if not epoch or epoch == self.epoch:
            return
        if self.epoch and self.condition == UPSTREAM_LEAVING:
            self.condition = UPSTREAM_OK
        self.epoch = epoch

    def note_hint(self, leaving=True):
        """Record that the VM list shows the upstream as leaving or gone."""
        if leaving and self.condition == UPSTREAM_OK:
            self.next_probe_at = self._clock.now()

    def _note_alive(self, state, now):
        self._failures = 0
        if state == STATE_LEAVING:
            self.condition = UPSTREAM_LEAVING
            self._leaving_at = now
            self._denials = 0
            return
        self._successes += 1
        if self.condition == UPSTREAM_LEAVING:
            self._note_denial(state, now)
        elif self._successes >= MIN_OK_SUCCESSES:
            self.condition = UPSTREAM_OK

    def _note_denial(self, state, now):
        if not state:
            return
        self._denials += 1
        late = now - self._leaving_at >= MIN_LEAVING_SECONDS
        if late and self._denials >= MIN_LEAVING_DENIALS:
            self.condition = UPSTREAM_OK

    def _note_failure(self, now):
        self._successes = 0
        self._failures += 1
        if self._failures < MIN_SUSPECT_FAILURES:
            soon = now + SUSPECT_PROBE_INTERVAL_SECONDS
            self.next_probe_at = min(self.next_probe_at, soon)
            return
        if self.condition == UPSTREAM_OK:
            self.condition = UPSTREAM_SUSPECT
            self._schedule(now)

    def _schedule(self, now):
        if self.condition != UPSTREAM_OK or self._failures:
            self._interval = SUSPECT_PROBE_INTERVAL_SECONDS
        elif self._has_responded_recently(now):
            self._interval = min(
                MAX_PROBE_INTERVAL_SECONDS,
                max(
                    PROBE_INTERVAL_SECONDS,
                    self._interval * PROBE_INTERVAL_GROWTH,
                ),
            )
        else:
            self._interval = PROBE_INTERVAL_SECONDS
        jitter = self._rng.uniform(
            1 - PROBE_INTERVAL_JITTER, 1 + PROBE_INTERVAL_JITTER
        )
        self.next_probe_at = now + self._interval * jitter

    def _has_responded_recently(self, now):
        if self._responded_at is None:
            return False
        return now - self._responded_at < PROBE_INTERVAL_SECONDS
