"""Asks owners to release the keys that move away from them."""

from bramleysill_kernel.common.call_outcome import CallOutcome

# Delay before a failed grant or release is sent again.
RETRY_DELAY_SECONDS = 0.1
# Upper bound of the delay between release attempts, which doubles each time.
# An owner whose process has ended responds to none of them, and its hold
# expires within seconds anyway.
MAX_RETRY_DELAY_SECONDS = 0.8
# Moves that become ready within this time share one write of the table.
WRITE_BATCH_SECONDS = 0.03
# Average time of a release before the first one, and the weight of a sample.
INITIAL_RELEASE_SECONDS = 0.2
RELEASE_TIME_WEIGHT = 0.1


class RangeReleases:
    """The releases of one service while this router leads."""

    __slots__ = (
        '_clock',
        '_directory',
        '_pool',
        '_holds',
        '_calls',
        '_release_seconds',
    )

    def __init__(self, clock, directory, pool, holds, calls):
        self._clock = clock
        self._directory = directory
        self._pool = pool
        self._holds = holds
        self._calls = calls
        # Average time in seconds until an owner has ended its work.
        self._release_seconds = INITIAL_RELEASE_SECONDS

    def send(self, move):
        """Ask the owner to release the keys of a move, if it is time."""
        now = self._clock.now()
        # After a restart under the same id the next process is asked: until it
        # registered, it accepted the grants that were meant for the former.
        entry = self._directory.last_known(move.old_range.owner)
        if entry is None or entry.incarnation < move.old_range.incarnation:
            return
        if now < move.retry_at:
            return
        if self._holds.has_grant_in_progress(move.old_range):
            # The release could overtake the grant, which would then undo it.
            return
        move.release_pending = True

        def done(result, handover):
            if result is CallOutcome.OK:
                sample = self._clock.now() - now
                self._release_seconds += RELEASE_TIME_WEIGHT * (
                    sample - self._release_seconds
                )
            self._on_released(move, result, handover)

        self._calls.release(entry, move.old_range, done)

    def _on_released(self, move, result, handover):
        move.release_pending = False
        if result is CallOutcome.REPLACED:
            self._pool.record_process_end(move.old_range)
            return
        if result is CallOutcome.OK:
            move.released = True
            move.handover = handover
            return
        pause = min(
            RETRY_DELAY_SECONDS * 2**move.failures, MAX_RETRY_DELAY_SECONDS
        )
        move.failures += 1
        move.retry_at = self._clock.now() + pause

    def pause_seconds(self, move):
        """Return for how long the keys of a move have no owner, or None.

        An owner accepts no new work from the arrival of a release. One that
        did not respond to the first may not have got it, and still serve.
        """
        now = self._clock.now()
        old_range = move.old_range
        if move.ready_at is not None:
            return WRITE_BATCH_SECONDS
        if move.release_pending and not move.failures:
            return self._release_seconds
        if move.released:
            end = self._holds.expiry_after_release(old_range)
            return max(WRITE_BATCH_SECONDS, end - now)
        if not old_range.owner:
            return None
        entry = self._directory.owner_entry(
            old_range.owner, old_range.incarnation
        )
        if entry is not None:
            return None
        end = self._holds.expiry_without_release(old_range)
        return max(WRITE_BATCH_SECONDS, end - now)
