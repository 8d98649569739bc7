"""Tests of the fair queue."""

import random

import testtools

from bramleysill_kernel.load.queueing import FairQueue
from bramleysill_kernel.load.queueing import WorkItem

SEED = 20261204


def _push(queue, number, service='s', caller='a', deadline=1.0, priority=1):
    item = WorkItem(
        number, service, deadline=deadline, caller=caller, priority=priority
    )
    queue.push(item)
    return item


def _pop_all(queue):
    return [queue.pop() for _ in range(len(queue))]


class FairQueueTest(testtools.TestCase):
    def test_priority_then_deadline(self):
        """Guards against urgent requests behind those that can wait."""
        queue = FairQueue()
        _push(queue, 1, deadline=3.0)
        _push(queue, 2, deadline=2.0)
        _push(queue, 3, deadline=9.0, priority=5)
        self.assertEqual([3, 2, 1], [item.id for item in _pop_all(queue)])
        self.assertIsNone(queue.pop())

    def test_caller_with_a_backlog_does_not_delay_others(self):
        """Guards against one caller that takes all capacity."""
        queue = FairQueue()
        for number in range(20):
            _push(queue, number, caller='greedy')
        _push(queue, 'x', caller='modest', deadline=9.0)
        order = [item.id for item in _pop_all(queue)]
        self.assertLessEqual(order.index('x'), 1)

    def test_services_share_evenly_whatever_their_callers(self):
        """Guards against a larger share for a service with more callers."""
        queue = FairQueue()
        for number in range(30):
            _push(queue, number, service='many', caller=f'c{number}')
            _push(queue, number, service='one')
        first = [item.service for item in _pop_all(queue)][:20]
        self.assertEqual(10, first.count('one'))

    def test_caller_with_one_request_at_a_time_does_not_starve_others(self):
        """Guards against serving a new caller before all others."""
        queue = FairQueue()
        for number in range(20):
            _push(queue, number, caller='batch')
        taken = ['quick']
        while len(taken) < 21:
            if taken[-1] == 'quick':
                _push(queue, len(taken), caller='quick', deadline=0.5)
            taken.append(queue.pop().caller)
        self.assertEqual(10, taken.count('batch'))

    def test_shed_request_is_from_the_longest_caller_queue(self):
        """Guards against shedding requests of callers that send few."""
        queue = FairQueue()
        modest = _push(queue, 'm', caller='modest', deadline=9.0)
        for number in range(5):
            _push(queue, number, caller='greedy', deadline=number)
        new = WorkItem('n', 's', deadline=5.0, caller='third')
        self.assertEqual(4, queue.least_valuable(new).id)
        own = WorkItem('g', 's', deadline=8.0, caller='greedy')
        self.assertIs(own, queue.least_valuable(own))
        self.assertIn(modest, list(queue))

    def test_random_removals_lose_and_duplicate_nothing(self):
        """Guards against stale entries after removals; the seed is fixed."""
        rng = random.Random(SEED)
        queue, expected = FairQueue(), {}
        for number in range(5000):
            if expected and rng.random() < 0.25:
                removed = expected.pop(rng.choice(list(expected)))
                queue.remove(removed)
            elif expected and rng.random() < 0.3:
                expected.pop(queue.pop().id)
            else:
                caller = str(rng.randrange(300))
                fields = rng.choice('st'), caller, rng.random(), number % 3
                expected[number] = _push(queue, number, *fields)
            self.assertEqual(len(expected), len(queue))
        left = {item.id for item in _pop_all(queue)}
        self.assertEqual(set(expected), left)
