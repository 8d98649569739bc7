"""Source mutations for bench.mutate; each disables one mechanism."""

import dataclasses

KERNEL = 'kernel/src/bramleysill_kernel/'
NET = 'net/src/bramleysill_net/'
ROUTER = 'router/src/bramleysill_router/'
GATEWAY = 'gateway/src/bramleysill_gateway/'

_MECHANISM_TESTS = 'tests.sessions.test_mechanisms.'
_GOLDEN_TESTS = 'tests.test_sessions.GoldenTest.'
_INVARIANT_TESTS = 'tests.test_sessions.InvariantTest.'


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """Replacement of a text in a file below `packages`.

    `test` names the test that must fail with the replacement.
    """

    mechanism: str
    file: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        'a refusal during a response ends it at the own interface',
        ROUTER + 'exchange.py',
        """        if self._stream.started:
            # The caller has a part of a response that doesn't go on.
""",
        """        if False:
""",
        'tests.test_exchange.ExchangeTest',
    ),
    Mutation(
        'a connection with a refusal serves no other request',
        ROUTER + 'local_attempt.py',
        'self._conn.close_after_response()',
        'pass',
        'tests.test_dispatched_refusals.RepeatedRefusalTest',
    ),
    Mutation(
        'a request is not dispatched within its dispatch',
        GATEWAY + 'exchange.py',
        '        if self._dispatching:\n            return\n',
        '',
        'tests.test_refused_fuzz.RemovedLimitTest',
    ),
    Mutation(
        'a permitted upstream without room is not chosen again',
        GATEWAY + 'peer_selection.py',
        'if peer is None or peer in full_peers:',
        'if peer is None:',
        'tests.test_upstream_limit.NoRoomTest',
    ),
    Mutation(
        'a refusal during a response resets the connection',
        GATEWAY + 'exchange.py',
        'if self.stream.started:',
        'if False:',
        'tests.test_gateway_exchange.ExchangeTest',
    ),
    Mutation(
        'an early response announces that the connection closes',
        NET + 'response_stream.py',
        'self._server_conn.finish_reading(self)',
        'pass',
        'tests.test_http_server.PipelineTest',
    ),
    Mutation(
        'a permission under a limit is not used early',
        GATEWAY + 'limit_wait.py',
        'if now >= permission.at:',
        'if True:',
        'tests.test_refused.LateLimitDecisionTest',
    ),
    Mutation(
        'an ended request waits for no change of owners',
        GATEWAY + 'frontend.py',
        'self._exchanges_awaiting_table.pop(exchange, None)',
        'pass',
        'tests.test_refused.LateLimitDecisionTest',
    ),
    Mutation(
        'a 421 of the process that was meant proves nothing',
        GATEWAY + 'attempt.py',
        'not signed and self._is_misdirected(headers)',
        'status == 421',
        'tests.test_refused.MisdirectedTest',
    ),
    Mutation(
        'no attempt that may have run is forgotten',
        GATEWAY + 'run_record.py',
        'self._attempts.append(attempt)',
        'self._attempts[:] = [attempt]',
        'tests.test_refused.EarlierAttemptTest',
    ),
    Mutation(
        'a refusal is true while an attempt runs',
        GATEWAY + 'exchange.py',
        'if refusal.status in NOT_RUN_STATUSES:',
        'if False:',
        'tests.test_refused.RunningAttemptTest',
    ),
    Mutation(
        'an attempt counts from its first byte',
        GATEWAY + 'attempt.py',
        'self._exchange.run_record.note_sent(self)',
        'pass',
        'tests.test_refused.RunningAttemptTest',
    ),
    Mutation(
        'only a refusal that says so takes an attempt back',
        GATEWAY + 'attempt.py',
        'if self._refused:',
        'if not self._usable:',
        'tests.test_gateway_exchange.ExchangeTest',
    ),
    Mutation(
        'a denied quota never refuses a request by itself',
        GATEWAY + 'quota_hold.py',
        """            self._denial = decision
        exchange.dispatch()
""",
        """            self._refuse(decision)
        exchange.dispatch()
""",
        'tests.test_quota_exchange.QuotaExchangeTest',
    ),
    Mutation(
        'a decision on a limit never refuses a request by itself',
        GATEWAY + 'limit_wait.py',
        """        self.limited_peers.add(peer)
        self._exchange.dispatch()
""",
        """        self.refuse((peer,))
""",
        'tests.test_refused.LateLimitDecisionTest',
    ),
    Mutation(
        'a pacing router is asked once at a time for a request',
        GATEWAY + 'limit_wait.py',
        'if self._question is None or self._question.peer is not peer:',
        'if True:',
        'tests.test_refused.LateLimitDecisionTest',
    ),
    Mutation(
        'a reply of the leader counts from its request',
        GATEWAY + 'freshness_exchange.py',
        'note_leader_reply(sent_at, row.age)',
        'note_leader_reply(self._loop.now(), row.age)',
        'tests.test_revocation.RevocationTest',
    ),
    Mutation(
        "a follower adds the age of the leader's knowledge",
        GATEWAY + 'freshness_exchange.py',
        'note_leader_reply(sent_at, row.age)',
        'note_leader_reply(sent_at, 0.0)',
        'tests.test_revocation.RevocationTest',
    ),
    Mutation(
        'a reply counts only for changes that were applied',
        GATEWAY + 'freshness_exchange.py',
        'if row.revision > watch.revision:',
        'if False:',
        'tests.test_revocation.RevocationTest',
    ),
    Mutation(
        'a watch counts from its call',
        GATEWAY + 'prefix_watch.py',
        'self.freshness.note_full_watch(sent_at, wait)',
        'self.freshness.note_store_reply(self._loop.now())',
        'tests.test_revocation.RevocationTest',
    ),
    Mutation(
        'keys need a recent configuration',
        KERNEL + 'config/credentials.py',
        'if is_recent():',
        'if True:',
        'tests.test_identification',
    ),
    Mutation(
        'an upstream checks the fence',
        KERNEL + 'units/grants.py',
        'if granted_fence != fence:',
        'if False:',
        'tests.test_grants.GrantTableTest',
    ),
    Mutation(
        'a grant expires on the clock of the upstream',
        KERNEL + 'units/grants.py',
        'if now_ms >= self.until_ms:',
        'if False:',
        'tests.test_grants.GrantTableTest',
    ),
    Mutation(
        'a dispatcher stops with its router lease',
        KERNEL + 'units/membership.py',
        '        if now < self.lease_deadline:\n            return\n',
        '        return\n',
        _MECHANISM_TESTS + 'AgentTest',
    ),
    Mutation(
        'a new coordinator waits for older router leases',
        KERNEL + 'units/coordinator.py',
        'if not election.first_term:',
        'if False:',
        _GOLDEN_TESTS + 'test_coordinator_paused',
    ),
    Mutation(
        'a write is not repeated after a lost answer',
        KERNEL + 'units/tables.py',
        'state.step = RESOLVING',
        'state.step = WRITING',
        _GOLDEN_TESTS + 'test_drain_at_noon',
    ),
    Mutation(
        'only an answer of ok makes an assignment accepted',
        KERNEL + 'units/tables.py',
        'if reply.result == effects.RESULT_OK:\n            self._accept',
        'if reply.result != effects.RESULT_CONFLICT:\n'
        '            self._accept',
        'tests.test_faults.FaultTest.test_each_fault_alone',
    ),
    Mutation(
        'an older manifest is ignored',
        KERNEL + 'units/state.py',
        'version <= self.manifest.version',
        'version == 0',
        'tests.test_coordinator.DistributionTest',
    ),
    Mutation(
        'a promise keeps a candidate from standing',
        KERNEL + 'election/election.py',
        'self.promise_until = max(self.promise_until, until)',
        'pass',
        'tests.test_election.ElectionTest',
    ),
    Mutation(
        'other routers stand only after a total loss of 30 s',
        KERNEL + 'election/eligibility.py',
        'return now - self._key_missing_since'
        ' >= lease.TOTAL_LOSS_WAIT_SECONDS',
        'return True',
        'tests.test_election.ElectionTest',
    ),
    Mutation(
        'admission keeps its limit',
        KERNEL + 'load/admission.py',
        'if self.in_flight < self.limit and not self._queue:\n'
        '            self._start',
        'if True:\n            self._start',
        'tests.test_admission.AdmissionTest',
    ),
    Mutation(
        'slow start bounds a cold upstream',
        KERNEL + 'load/slow_start.py',
        '        self.bound = self.cold_bound\n',
        '        self.bound = self.slots\n',
        _INVARIANT_TESTS + 'test_slow_start_after_loss',
    ),
    Mutation(
        'the loser of a race between operators is told',
        'ctl/src/sillctl/store_writes.py',
        'if value.version != expected:',
        'if False:',
        'tests.test_ctl_store',
    ),
    Mutation(
        'an upstream slowed by neighbours is ejected',
        KERNEL + 'load/balancer.py',
        'not c.ejected',
        'True',
        'tests.test_balancer',
    ),
    Mutation(
        'an unknown outcome is repeated only if repeatable',
        KERNEL + 'load/retries.py',
        'return outcome == OUTCOME_UNKNOWN and repeatable',
        'return outcome == OUTCOME_UNKNOWN',
        'tests.test_retries.RetryPolicyTest',
    ),
    Mutation(
        'a connection lost after a send is unknown',
        ROUTER + 'local_attempt.py',
        'if sent == 0:',
        'if True:',
        _INVARIANT_TESTS + 'test_opening_repeated',
    ),
    Mutation(
        'an idempotency key is remembered',
        KERNEL + 'load/idempotency.py',
        'if entry is not None:\n            if entry.fingerprint',
        'if False:\n            if entry.fingerprint',
        _INVARIANT_TESTS + 'test_opening_repeated',
    ),
    Mutation(
        'a late answer reaches no other request',
        NET + 'response_stream.py',
        '        if self.closed or self.started:\n            return\n',
        '',
        'tests.test_http_server.LateResponseTest',
    ),
    Mutation(
        'a connection of an expired request is closed',
        NET + 'http_client.py',
        '        self._sink = None\n        self._reservation.close()\n'
        '        self.conn.abort()\n',
        '        self.busy = False\n        self._on_idle(self)\n',
        _MECHANISM_TESTS + 'LateResponseTest',
    ),
    Mutation(
        'a drained failure domain gets no units',
        KERNEL + 'units/planner.py',
        'return upstream not in self.drained and ',
        'return ',
        _INVARIANT_TESTS + 'test_drain_at_noon',
    ),
    Mutation(
        'a leaving upstream gets no units',
        KERNEL + 'units/losses.py',
        'condition.phase == OK and not condition.leaving',
        'condition.phase == OK',
        _MECHANISM_TESTS + 'DepartureTest',
    ),
    Mutation(
        'a shutdown waits for running requests',
        ROUTER + 'process.py',
        'if late or not (running or busy or roles or '
        'self._is_handing_over()):',
        'if True:',
        _MECHANISM_TESTS + 'DepartureTest',
    ),
    Mutation(
        'a release waits for a grant of its keys in progress',
        KERNEL + 'ranges/range_releases.py',
        'if self._holds.has_grant_in_progress(move.old_range):',
        'if False:',
        'tests.test_range_coordinator.MovesTest',
    ),
    Mutation(
        'a restarted upstream may hold keys of its former process',
        KERNEL + 'ranges/reassignment.py',
        'if self._pool.has_ended(old_range):',
        'if self._pool.has_ended(old_range) or '
        'self.restarted_owner(old_range):',
        'tests.test_range_coordinator.RestartTest',
    ),
    Mutation(
        'the next process of an upstream gets no fence of the former one',
        KERNEL + 'ranges/process_fences.py',
        'if fence <= self._barred and not any_process:',
        'if False:',
        'tests.test_range_coordinator.NextProcessTest',
    ),
    Mutation(
        'grants with the old fence count after a new one',
        KERNEL + 'ranges/process_fences.py',
        '                holds.carry_over(part, item)\n',
        '',
        'tests.test_process_fences.FenceRenewalsTest',
    ),
    Mutation(
        'an unanswered grant counts from the end of its call',
        KERNEL + 'ranges/hold_ledger.py',
        'self._clock.now()\n                + MAX_TRANSIT_SECONDS',
        'self._clock.now()\n                - 1.0',
        'tests.test_range_coordinator.HoldLedgerTest',
    ),
    Mutation(
        'a call may arrive half a second after its end',
        KERNEL + 'ranges/hold_ledger.py',
        'MAX_TRANSIT_SECONDS = 0.5',
        'MAX_TRANSIT_SECONDS = 0.05',
        'tests.test_range_coordinator.CongestionTest',
    ),
    Mutation(
        'holds of a former term count for its last table only',
        KERNEL + 'ranges/range_coordinator.py',
        'if not is_last and former.table_revision != self._first_revision:',
        'if False:',
        'tests.test_range_coordinator.TakeoverTest',
    ),
    Mutation(
        'a router that leads again knows what it has granted',
        GATEWAY + 'coordinators.py',
        'self._former_holds.update(self.final_holds)',
        'pass',
        'tests.test_leads_again',
    ),
    Mutation(
        'the same leader key proves that nobody else has led',
        GATEWAY + 'coordinators.py',
        'is_last = has_same_key and service in self.final_holds',
        'is_last = False',
        'tests.test_leads_again',
    ),
    Mutation(
        'holds belong to the era of their term',
        GATEWAY + 'coordinators.py',
        'coordinator.former_holds(self._term_era)',
        'coordinator.former_holds(self._state.own_era)',
        'tests.test_leads_again',
    ),
    Mutation(
        'a departure counts whatever the entry says',
        KERNEL + 'discovery/upstream_directory.py',
        'if self._departures.get(entry.upstream) == entry.incarnation:',
        'if False:',
        'tests.test_upstream_availability.DirectoryTest',
    ),
    Mutation(
        'a pipelined request that runs once waits for its turn',
        GATEWAY + 'frontend.py',
        'return route is not None and route.repeatable',
        'return route is not None',
        'tests.test_pipelining',
    ),
    Mutation(
        'a caller that closes is noticed before its data',
        NET + 'loop.py',
        'if event & select.EPOLLRDHUP:',
        'if False:',
        'tests.test_caller_leaves',
    ),
    Mutation(
        'a quota owner stops when its list of routers is old',
        KERNEL + 'load/token_owner.py',
        'and now <= as_of + MAX_LIST_AGE_SECONDS',
        'and True',
        'tests.test_quotas.OwnershipTest',
    ),
    Mutation(
        'a new quota owner waits until the former one has stopped',
        KERNEL + 'load/token_owner.py',
        'TAKEOVER_WAIT_SECONDS = 2.0 * (1.0 + CLOCK_RATE_TOLERANCE)',
        'TAKEOVER_WAIT_SECONDS = 0.0',
        'tests.test_quotas.OwnerTest',
    ),
    Mutation(
        'a quota owner starts over after a gap in its knowledge',
        KERNEL + 'load/token_owner.py',
        'or now > self._last_as_of + MAX_LIST_AGE_SECONDS',
        'or False',
        'tests.test_quotas.OwnershipTest',
    ),
    Mutation(
        'upstreams of a shared service are sampled',
        KERNEL + 'load/choice_policies.py',
        'SAMPLES = 3',
        'SAMPLES = 1',
        'tests.test_choice_policies.PatternTest',
    ),
    Mutation(
        'an old load report gives way to the mean of the service',
        KERNEL + 'load/upstream_load.py',
        'others = usual + (self._other_requests - usual) * min(1.0, trust)',
        'others = self._other_requests',
        'tests.test_choice_policies.EstimateTest',
    ),
    Mutation(
        'a busier own failure domain is not preferred',
        KERNEL + 'load/choice_policies.py',
        'return own if self._rng.random() < share else candidates',
        'return own',
        'tests.test_choice_policies',
    ),
    Mutation(
        'requests to an upstream without reports are bounded',
        KERNEL + 'load/choice_policies.py',
        'if load.in_flight and load.report_age(now) > REPORT_LOSS_SECONDS:',
        'if False:',
        'tests.test_choice_policies.ChoiceTest',
    ),
    Mutation(
        'a body that is sent in chunks is framed',
        GATEWAY + 'request_body.py',
        'if not self._is_chunked or not data:',
        'if True:',
        'tests.test_upload_framing.StreamedUploadTest',
    ),
    Mutation(
        'a connection is reused only after a whole request',
        NET + 'http_client.py',
        'if not self._request_complete or self.buffered:',
        'if False:',
        'tests.test_http_client.EarlyResponseTest',
    ),
    Mutation(
        'an early refusal ends the connection of an upload',
        NET + 'http_client.py',
        'if not self._request_complete or self.buffered:',
        'if False:',
        'tests.test_dispatched_uploads',
    ),
    Mutation(
        'an empty part does not end a chunked body',
        ROUTER + 'local_attempt.py',
        'if self.head.length < 0 and data:',
        'if self.head.length < 0:',
        'tests.test_dispatched_uploads',
    ),
    Mutation(
        'the body of a response to a grant is bounded',
        NET + 'response_sinks.py',
        'if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:',
        'if False:',
        'tests.test_endless_calls.EndlessGrantTest',
    ),
    Mutation(
        'bodies of all calls share one bound',
        NET + 'http_calls.py',
        'callback, self._max_body_bytes, reservation',
        'callback, self._max_body_bytes',
        'tests.test_endless_calls.EndlessStoreTest',
    ),
    Mutation(
        'heads of all responses share one bound',
        NET + 'http_client.py',
        'max(0, held - UNRESERVED_HEAD_BYTES)',
        '0',
        'tests.test_http_client.OddResponseTest',
    ),
    Mutation(
        'the header fields of a response are counted',
        NET + 'http_client.py',
        'if len(self._headers) >= MAX_RESPONSE_HEADERS:',
        'if False:',
        'tests.test_http_client.OddResponseTest',
    ),
    Mutation(
        'an error that a write took from the socket fails the connection',
        NET + 'conn.py',
        'self._send_error = exc',
        'pass',
        'tests.test_conn.HiddenErrorTest',
    ),
    Mutation(
        'a reset behind a FIN fails the connection',
        NET + 'conn.py',
        'if exc is None and code:',
        'if False:',
        'tests.test_conn.HiddenErrorTest',
    ),
    Mutation(
        'a close ends a response only once the request was written',
        NET + 'http_client.py',
        'is_sent = self._request_complete and not self._unsent',
        'is_sent = True',
        'tests.test_http_client.ResponseEndedByCloseTest',
    ),
    Mutation(
        'a close ends a response only once the request was taken',
        NET + 'http_client.py',
        'is_sent and not self.conn.closed_early',
        'is_sent',
        'tests.test_http_client.ResponseEndedByCloseTest',
    ),
    Mutation(
        'an invalid response is no limit of connections',
        GATEWAY + 'attempt.py',
        'elif not self._reused and not self._conn.responding:',
        'elif not self._reused and not self.status:',
        'tests.test_broken_path.BrokenPathTest',
    ),
    Mutation(
        'a reset without a response is a limit of connections',
        GATEWAY + 'attempt.py',
        'elif not self._reused and not self._conn.responding:',
        'elif False:',
        'tests.test_broken_path.BrokenPathTest',
    ),
    Mutation(
        'a status below 100 is not awaited as interim',
        NET + 'http_client.py',
        'INTERIM_STATUSES = range(100, 200)',
        'INTERIM_STATUSES = range(0, 200)',
        'tests.test_invalid_status.InvalidStatusTest',
    ),
    Mutation(
        'a status from 600 on is not passed on',
        NET + 'http_client.py',
        'FINAL_STATUSES = range(200, 600)',
        'FINAL_STATUSES = range(200, 1000)',
        'tests.test_invalid_status.InvalidStatusAtGatewayTest',
    ),
    Mutation(
        'a change of protocol is not awaited as interim',
        NET + 'http_client.py',
        ' or status == SWITCHING_PROTOCOLS',
        '',
        'tests.test_invalid_status.InvalidStatusTest',
    ),
    Mutation(
        'bytes that are not sent in time end with a reset',
        NET + 'conn.py',
        'if self._send_queue and not self.closed:',
        'if False:',
        'tests.test_conn.ConnTest',
    ),
    Mutation(
        'an ending process resets unfinished responses',
        GATEWAY + 'process.py',
        '        self.frontend.connections.abort_unfinished()\n',
        '',
        'tests.test_gateway_process.ShutdownTest',
    ),
    Mutation(
        'a lingering connection is not reset',
        NET + 'http_server.py',
        'if self._streams or self.conn.buffered:',
        'if not self.idle or self.conn.buffered:',
        'tests.test_mixed.ProcessEndTest',
    ),
    Mutation(
        'a response in progress is unfinished',
        NET + 'http_server.py',
        'if self._streams or self.conn.buffered:',
        'if self.conn.buffered:',
        'tests.test_mixed.ProcessEndTest',
    ),
    Mutation(
        'an ending router resets unfinished responses',
        ROUTER + 'process.py',
        '            self.entry.abort_unfinished()\n',
        '',
        'tests.test_process.RouterProcessTest',
    ),
    Mutation(
        'a trailer is no header field',
        NET + 'http_client.py',
        'if self._has_extra_response or self._in_body:',
        'if self._has_extra_response:',
        'tests.test_http_client.OddResponseTest',
    ),
    Mutation(
        'chunks that arrive together are passed on as one',
        NET + 'http_client.py',
        '        self._body_parts.append(data)',
        '        self._sink.on_body(data)',
        'tests.test_http_client.OddResponseTest',
    ),
    Mutation(
        'faulty upstreams leave room for the store',
        KERNEL + 'load/receive_budget.py',
        'if source == UPSTREAM:',
        'if False:',
        'tests.test_endless_calls.UpstreamShareTest',
    ),
    Mutation(
        'unfinished frames of all links share one bound',
        'wire/src/bramleysill_wire/codec.py',
        'if not self._reservation.resize(len(self._buffer)):',
        'if False:',
        'tests.test_codec',
    ),
    Mutation(
        'a link sends little before its Hello',
        ROUTER + 'peer_links.py',
        'self._reader.buffered > MAX_HELLO_BYTES',
        'False',
        'tests.test_memory_budget.LinkBoundTest',
    ),
    Mutation(
        'a refusal without end is given up',
        ROUTER + 'local_attempt.py',
        'if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:',
        'if False:',
        'tests.test_endless_dispatched',
    ),
    Mutation(
        'the trailers of a request are bounded',
        NET + 'request_parser.py',
        'self._unparsed_bytes += len(data)',
        'pass',
        'tests.test_http_server.FramingTest',
    ),
    Mutation(
        'only the first router of its own list paces',
        GATEWAY + 'pacing.py',
        'if not self._comes_first(report.upstream):',
        'if False:',
        'tests.test_pacing.DifferentListsTest',
    ),
    Mutation(
        'a router that has just started has no share of a limit',
        GATEWAY + 'pacing.py',
        """        if not self._routers.has_settled_once():
            return PaceDecision(False, FALLBACK_RETRY_SECONDS)
""",
        '',
        'tests.test_pacing.DifferentListsTest',
    ),
    Mutation(
        'a new pacing router permits no burst',
        KERNEL + 'load/rate_pacer.py',
        'self._next_at = now + tolerance',
        'self._next_at = 0.0',
        'tests.test_pacing.RatePacerTest',
    ),
    Mutation(
        'a router that has just started asks whether it paces',
        GATEWAY + 'pacing.py',
        'elif self._routers.has_settled_once():',
        'elif True:',
        'tests.test_pacing.DifferentListsTest',
    ),
    Mutation(
        'a leader that shuts down leaves its holds',
        GATEWAY + 'leader.py',
        'for name, value in self.coordinators.holds_records()',
        'for name, value in ()',
        'tests.test_holds_record.LeaderStopsTest',
    ),
    Mutation(
        'only the record of the last table counts',
        KERNEL + 'ranges/range_coordinator.py',
        'former.table_revision != self._first_revision',
        'False',
        'tests.test_holds_record.LeaderStopsTest',
    ),
)
