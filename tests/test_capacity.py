"""Checks docs/CAPACITY.md against the committed slopes."""

import json

import testtools

from bench.capacity import page
from bench.capacity.figures import compute_figures
from bench.capacity.fit import fit_table
from bench.capacity.formatting import NOT_MEASURED
from bench.capacity.measurements import load_measurements


def _round_slopes():
    """Return slopes with round values, so that sums are easy to verify."""
    codec = {'bytes': 100, 'encode_us': 10.0, 'decode_us': 20.0}
    return {
        'command': 'c',
        'date': 'd',
        'processors': 1,
        'load_average': 0.0,
        'cells': [
            {
                'routers': 40,
                'coordinator_core': 0.01,
                'agent_core': 0.0001,
                'messages_per_s': 200.0,
                'bytes_per_s': 100.0,
            }
        ],
        'codec': {
            'Heartbeat': {**codec, 'bytes': 600},
            'HeartbeatReply': {**codec, 'bytes': 80},
            'StateUpdate, whole': codec,
            'StateUpdate, roles': codec,
            'StateUpdate, one shard': codec,
        },
        'grant_bytes': 350,
        'manifest': {'bytes': 4300, 'upstreams': 43},
        'loaded_rss_bytes': 40_000_000,
        'memory': [{'shards': 82_000, 'state_bytes': 8_600_000}],
        'planning': [
            {'upstreams': n, 'worst_s': 0.1} for n in (120, 480, 5100)
        ],
    }


class CapacityPageTest(testtools.TestCase):
    def test_page_matches_the_slopes(self):
        """Guards against slopes that were committed without the page."""
        text = page.PAGE.read_text()
        expected = page.render(text, page.page_parts(*load_measurements()))
        if text != expected:
            self.fail('docs/CAPACITY.md is stale; run `make capacity`')

    def test_missing_marker_is_an_error(self):
        """Guards against a table left out because its marker is missing."""
        self.assertRaises(ValueError, page.render, '', {'fit': 'x'})

    def test_changed_slope_changes_the_page(self):
        """Guards against a page that does not depend on the slopes."""
        slopes, paths = load_measurements()
        changed = json.loads(json.dumps(slopes))
        changed['codec']['Heartbeat']['bytes'] += 100
        self.assertNotEqual(
            page.page_parts(slopes, paths),
            page.page_parts(changed, paths),
        )


class CapacityArithmeticTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.figures = compute_figures(_round_slopes(), None)

    def test_heartbeat_bytes(self):
        """Guards against a wrong number of peers or heartbeats."""
        # 2.5 heartbeats/s x (600 + 80) bytes, and 39 peers of that.
        self.assertAlmostEqual(1700.0, self.figures['agent_heartbeat_bytes'])
        self.assertAlmostEqual(66_300.0, self.figures['cell_heartbeat_bytes'])

    def test_other_bytes_of_a_node(self):
        """Guards against a sum without state updates or grants."""
        # 3 upstreams / 0.3 s x 350 bytes.
        self.assertAlmostEqual(3500.0, self.figures['grant_bytes'])
        # 100 bytes per upstream x 5,100 / 43 and 100 bytes of roles.
        self.assertAlmostEqual(11_960.465, self.figures['push_bytes'], 3)
        # 8,300 / 86,400 x 11,960.465 = 1,148.980; 1,700 + 3,500 more.
        self.assertAlmostEqual(6348.980, self.figures['agent_bytes'], 2)

    def test_processor_time_of_the_coordinator(self):
        """Guards against a wrong unit of the codec's time."""
        # 97.5 heartbeats/s x (20 + 10) us.
        self.assertAlmostEqual(0.002925, self.figures['codec_core'])

    def test_store_writes(self):
        """Guards against a wrong rate of lease renewals."""
        # 43 / 0.3 = 143.3333 and 8,300 / 86,400 = 0.0961.
        self.assertAlmostEqual(143.4294, self.figures['writes'], 4)

    def test_store_reads_without_coordinators(self):
        """Guards against a sum without the polls of the followers."""
        # 43 cells x 39 routers / 0.15 s.
        self.assertAlmostEqual(11_180.0, self.figures['all_polls'])

    def test_memory_of_a_node(self):
        """Guards against counting the shards of all cells in each cell."""
        # 8.6 MB / 43 cells = 0.2 MB.
        self.assertAlmostEqual(40_200_000.0, self.figures['node_memory'])

    def test_processes_per_vm(self):
        """Guards against processes that do not follow from measured rates."""
        self.assertIsNone(self.figures['processes'])
        paths = {
            'forwarded': {'requests_per_s': 1000, 'cpu_us_per_request': 500}
        }
        figures = compute_figures(_round_slopes(), paths)
        # 7,000,000 / 1,700 / 1,000.
        self.assertAlmostEqual(4.1176, figures['processes'], 4)
        self.assertIn('4.1 processes per VM', fit_table(figures))
        self.assertIn(NOT_MEASURED, fit_table(self.figures))
