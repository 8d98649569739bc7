"""The rules that decide whether a router may stand for election."""

from bramleysill_kernel.common import lease


class EligibilityRules:
    """The part of an Election that decides whether the router may stand."""

    __slots__ = ()

    def _may_stand(self, now):
        """Return whether this router may stand for election now.

        Its promise must have expired. Besides, it must be a candidate on the
        leader record, or there must be no record yet, or the VMs of all
        candidates must have been missing from the VM list for long enough.
        """
        if now < self.promise_until:
            return False
        record = self.record
        if record is None:
            return True
        if self._is_candidate():
            if record.candidates[self.name] == self.incarnation:
                return True
            if self._may_replace_predecessor(now):
                return True
        return self._all_candidates_lost(now)

    def _may_replace_predecessor(self, now):
        """Return whether it may use the candidacy of its former process.

        It first waits until a promise that the former process may have made
        has expired; the module `election` explains the other condition.
        """
        waited = lease.grantor_deadline(
            self._started_at, lease.PROMISE_SECONDS
        )
        if now < waited:
            return False
        record = self.record
        if record.holder == self.name:
            return True
        return any(
            peer == record.holder and term <= record.term
            for peer, term in self._not_leading
        )

    def _all_candidates_lost(self, now):
        """Return whether no candidate's VM is listed and the key is missing.

        The lease key must have been missing for TOTAL_LOSS_WAIT_SECONDS.
        """
        if self.vm_names is None or self.vm_names & set(
            self.record.candidates
        ):
            return False
        return now - self._key_missing_since >= lease.TOTAL_LOSS_WAIT_SECONDS

    def _is_candidate(self):
        return self.record is not None and self.name in self.record.candidates
