"""The retry budget of each service, as the manifest declares it."""

from bramleysill_kernel.load.retries import RetryPolicy


class RetryBudgets:
    """Holds one RetryPolicy for each service of the manifest."""

    __slots__ = ('_clock', '_rng', '_policies')

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self._policies = {}

    def note_request(self, service):
        """Record a new request of a service, which adds to its budget."""
        self._policy(service).note_request()

    def delay(self, service, refusal, repeatable, attempts, deadline):
        """Return seconds until another attempt, or None without a retry."""
        return self._policy(service).delay(
            refusal.outcome,
            repeatable,
            deadline,
            max(1, attempts),
            retry_after=None,
        )

    def _policy(self, service):
        policy = self._policies.get(service.name)
        if policy is None or policy.ratio != service.retry_ratio:
            policy = RetryPolicy(
                self._clock, self._rng, ratio=service.retry_ratio
            )
            self._policies[service.name] = policy
        return policy
