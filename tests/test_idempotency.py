"""Tests of the cache of idempotency keys."""

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load import idempotency as idem


class IdempotencyCacheTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.cache = idem.IdempotencyCache(
            self.clock,
            max_entries=3,
            max_age_seconds=60.0,
            max_result_bytes=10,
        )

    def _begin(self, key='k', unit='1', **kwargs):
        return self.cache.begin(unit, key, **kwargs)[0]

    def test_key_runs_once(self):
        """Guards against a second run during or after the first one."""
        self.assertEqual(idem.NEW, self._begin())
        self.assertEqual(idem.RUNNING, self._begin())
        self.cache.record_done('1', 'k', b'response')
        state, entry = self.cache.begin('1', 'k')
        self.assertEqual((idem.DONE, b'response'), (state, entry.result))
        self.assertEqual(idem.NEW, self._begin(unit='2'))

    def test_unknown_stays_unknown(self):
        """Guards against a run after an attempt with an unknown outcome."""
        self._begin()
        self.cache.record_unknown('1', 'k')
        self.cache.record_not_run('1', 'k')
        self.cache.record_done('1', 'k', b'late')
        self.assertEqual(idem.UNKNOWN, self._begin())
        self.cache.resolve('1', 'k', b'found')
        self.assertEqual(idem.DONE, self.cache.lookup('1', 'k')[0])

    def test_key_that_did_not_run_may_be_used_again(self):
        """Guards against a key that can't be used after a refusal.

        Also guards against another request that takes a key in use.
        """
        self._begin(fingerprint='a')
        self.assertEqual(idem.MISMATCH, self._begin(fingerprint='b'))
        self.cache.record_not_run('1', 'k')
        self.assertEqual(idem.NEW, self._begin(fingerprint='b'))

    def test_full_cache_refuses_new_keys_and_keeps_the_old(self):
        """Guards against removing a key that would then run a second time."""
        for key in 'abc':
            self._begin(key)
            self.cache.record_done('1', key, b'x')
        self.assertEqual(idem.FULL, self._begin('d'))
        self.assertEqual(idem.DONE, self._begin('a'))
        self.clock.advance(61.0)
        self.assertEqual(idem.NEW, self._begin('d'))
        self.assertEqual(1, len(self.cache))

    def test_running_key_outlives_its_age(self):
        """Guards against running a long request twice."""
        self._begin()
        self.clock.advance(61.0)
        self.cache.tick()
        self.assertEqual(idem.RUNNING, self._begin())

    def test_large_result_is_not_kept_but_the_run_is(self):
        """Guards against using much memory for large responses."""
        self._begin()
        self.cache.record_done('1', 'k', b'x' * 11)
        state, entry = self.cache.lookup('1', 'k')
        self.assertEqual((idem.DONE, None), (state, entry.result))

    def test_new_cache_does_not_run_a_declared_repetition(self):
        """Guards against a second run after the loss of the dispatcher."""
        self.assertEqual(idem.UNKNOWN, self._begin(repeated=True))
        self.assertEqual(idem.UNKNOWN, self.cache.lookup('1', 'k')[0])
        self.clock.advance(61.0)
        self.assertEqual(idem.ABSENT, self.cache.lookup('1', 'k')[0])
        self.assertEqual(idem.NEW, self._begin(repeated=True))
