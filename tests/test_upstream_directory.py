"""Tests of the upstream directory and of which upstreams get work."""

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.discovery.upstream_directory import (
    REREGISTRATION_SECONDS,
)
from bramleysill_kernel.discovery.upstream_directory import UpstreamDirectory
from tests.bounds import make_timings
from tests.range_fakes import SERVICE
from tests.range_fakes import make_entry

TIMINGS = make_timings()


class UpstreamDirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.directory = UpstreamDirectory(self.clock, TIMINGS)
        for name in ('u1', 'u2'):
            self.directory.put(make_entry(name))

    def _usable(self):
        return [e.upstream for e in self.directory.usable(SERVICE)]

    def test_a_removed_upstream_gets_no_work(self):
        """Guards against requests to an upstream that has left."""
        self.directory.remove('u1')
        self.assertEqual(['u2'], self._usable())

    def test_expired_entries_are_kept_after_an_outage(self):
        """All entries expire in an outage of the store.

        Guards against refusing all requests until the upstreams, which are
        still alive, have registered again.
        """
        self.directory.note_store_recovered()
        self.directory.remove('u1')
        self.directory.remove('u2')
        self.assertEqual(['u1', 'u2'], self._usable())
        self.clock.advance(REREGISTRATION_SECONDS)
        self.directory.tick()
        self.assertEqual([], self._usable())

    def test_an_upstream_that_left_during_an_outage_is_not_preferred(self):
        """A router is cut off from the store while an upstream drains.

        Guards against requests to the drained upstream while the others
        are still registered (DRAIN on mundart-tor scale-2).
        """
        self.directory.note_store_recovered()
        self.directory.remove('u1')
        self.assertEqual(['u2'], self._usable())

    def test_an_owner_is_used_for_a_moment_after_it_left(self):
        """Guards against refusals while keys move away from an owner."""
        self.directory.put(make_entry('u1', draining=True))
        self.assertIsNotNone(self.directory.owner_entry('u1', 1))
        self.clock.advance(TIMINGS.leaving_grace)
        self.assertIsNone(self.directory.owner_entry('u1', 1))

    def test_an_evacuated_owner_is_used_for_a_moment(self):
        """Guards against requests to a domain long after its evacuation."""
        self.directory.set_evacuated({'a'})
        self.assertEqual([], self._usable())
        self.assertIsNotNone(self.directory.owner_entry('u1', 1))
        self.clock.advance(TIMINGS.leaving_grace)
        self.assertIsNone(self.directory.owner_entry('u1', 1))
        self.directory.set_evacuated(set())
        self.assertIsNotNone(self.directory.owner_entry('u1', 1))

    def test_another_incarnation_is_not_the_owner(self):
        """Guards against requests to a process without the keys."""
        self.directory.put(make_entry('u1', incarnation=2))
        self.assertIsNone(self.directory.owner_entry('u1', 1))

    def test_a_newer_process_at_an_address_replaces_the_older(self):
        """Guards against requests to a process whose address was reused."""
        newer = make_entry('u3', incarnation=5)
        newer.port = make_entry('u1').port
        self.directory.put(newer)
        self.assertEqual(['u2', 'u3'], sorted(self._usable()))


class RestoredStoreTest(testtools.TestCase):
    """Entries of a store that was restored from an older copy."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.directory = UpstreamDirectory(self.clock, TIMINGS)

    def _usable(self):
        return [e.upstream for e in self.directory.usable(SERVICE)]

    def test_a_draining_upstream_gets_no_work_again(self):
        """Guards against requests to an upstream that is about to end."""
        self.directory.put(make_entry('u0', draining=True))
        self.directory.put_from_copy(make_entry('u0'))
        self.assertEqual([], self._usable())

    def test_an_upstream_that_has_left_is_not_used(self):
        """Guards against requests to a process that has ended."""
        self.directory.put(make_entry('u0'))
        self.directory.remove('u0')
        self.directory.put_from_copy(make_entry('u0'))
        self.directory.tick()
        self.assertEqual([], self._usable())
        self.directory.remove('u0')
        self.clock.advance(2 * TIMINGS.silent_entry)
        self.directory.tick()
        self.assertEqual([], self._usable())

    def test_an_upstream_that_registers_again_is_used(self):
        """Guards against an upstream that stays unused after a cut."""
        self.directory.put(make_entry('u0'))
        self.directory.remove('u0')
        self.directory.put_from_copy(make_entry('u0'))
        self.directory.put(make_entry('u0'))
        self.assertEqual(['u0'], self._usable())

    def test_an_entry_that_outlasts_its_heartbeats_is_used(self):
        """Guards against an upstream that stays unused after a cut."""
        self.directory.put(make_entry('u0'))
        self.directory.remove('u0')
        self.directory.put_from_copy(make_entry('u0'))
        self.clock.advance(TIMINGS.silent_entry)
        self.directory.tick()
        self.assertEqual(['u0'], self._usable())

    def test_slow_heartbeats_are_waited_for(self):
        """Guards against requests to a process whose entry isn't removed yet.

        The store removes it after three heartbeat intervals of silence.
        """
        directory = UpstreamDirectory(self.clock, make_timings(heartbeat=3.0))
        directory.put(make_entry('u0'))
        directory.remove('u0')
        directory.put_from_copy(make_entry('u0'))
        self.clock.advance(9.0)
        directory.tick()
        self.assertEqual([], directory.usable(SERVICE))

    def test_a_newer_process_stays(self):
        """Guards against requests to the former process of an upstream."""
        self.directory.put(make_entry('u0', incarnation=2))
        self.directory.put_from_copy(make_entry('u0', incarnation=1))
        self.assertEqual(2, self.directory.get('u0').incarnation)
