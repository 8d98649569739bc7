"""Tests of upstreams that repeat refusals or break off in a head."""

from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response

NOT_RUN_STATUSES = (408, 421, 429, 503)


class RepeatedRefusalTest(GatewayTestCase):
    """An upstream writes a refusal once more on the same connection."""

    def test_a_repeated_refusal_of_the_same_request_is_not_believed(self):
        """Guards against 'not run' for a request that runs.

        The retry of a refused request has the same id, so that the id can't
        tell the repeated refusal from one of the retry.
        """
        refused = set()
        run_ids = []

        def respond(request_id):
            id_line = f'{REQUEST_ID_HEADER}: {request_id}\r\n'
            refusal = unsigned_response(503, NOT_RUN_LINE + id_line)
            conn = upstream.last_conn
            if refused:
                run_ids.append(request_id)
            if refused and conn not in refused:
                return signed_response(request_id)
            refused.add(conn)
            return refusal

        upstream = self.add_upstream('u1', respond, 'keyed')
        status, _, _ = self.request('/keyed/', body=b'x')
        self.assertEqual((200, 1), (status, len(run_ids)))

    def test_a_repeated_refusal_without_an_id_is_not_believed(self):
        """Guards against 'not run' for a request that runs."""
        responses = [
            signed_response('r1'),
            unsigned_response(503, NOT_RUN_LINE),
        ]
        upstream = self.add_upstream(
            'u1', lambda request_id: responses.pop(0), 'keyed'
        )
        self.request('/keyed/', body=b'x')
        status, _, _ = self.request('/keyed/', body=b'x')
        self.assertEqual(2, len(upstream.requests))
        self.assertNotIn(status, NOT_RUN_STATUSES)


class TruncatedHeadTest(GatewayTestCase):
    """An upstream breaks off in the head of its response and closes."""

    def _check_cut(self, path, make_response):
        whole = make_response('r1')
        head_end = whole.index(b'\r\n\r\n') + 3
        cuts = []

        def respond(request_id):
            conn = upstream.last_conn.conn
            conn.write(make_response(request_id)[: cuts[-1]])
            conn.close()
            return 'no_response'

        upstream = self.add_upstream('u1', respond)
        for cut in range(1, head_end):
            cuts.append(cut)
            self.upstreams.close()
            status, _, body = self.request(path, body=b'x')
            self.assertGreaterEqual(status, 500, whole[:cut])
            self.assertNotEqual(b'', body)

    def test_a_head_cut_anywhere_is_no_response(self):
        """Guards against a 200 with an empty body that looks complete."""
        self._check_cut('/write/', signed_response)

    def test_a_cut_head_with_bare_line_feeds_is_no_response(self):
        """Guards against the end of a line that is taken for the head's."""

        def respond(request_id):
            return signed_response(request_id).replace(b'\r\n', b'\n', 2)

        self._check_cut('/write/', respond)
