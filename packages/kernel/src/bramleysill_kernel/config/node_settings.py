"""Typed settings of a router process on the users' platform."""

from bramleysill_kernel.config.timings import Timings

# Bounds of organisations that the settings may omit.
DEFAULT_REVOKE_SECONDS = 5.0
DEFAULT_QUOTA_WINDOW_SECONDS = 5.0
DEFAULT_QUOTA_OVER = 0.1
DEFAULT_QUOTA_SLACK = 20.0


class ListenAddresses:
    """Listen addresses as (host, port); `peer` is for links to routers."""

    __slots__ = ('callers', 'readiness', 'peer')

    def __init__(self, callers, readiness, peer):
        self.callers = callers
        self.readiness = readiness
        self.peer = peer


class Bounds:
    """Limits set by the platform; times are in seconds.

    Most name what they limit. `config_apply`, `drain` and `evacuation` bound
    the time until such a change has taken effect, and `longest_hold` the
    length of a grant. In `retry_window` seconds, all routers together may send
    `retry_extra` retries plus `retry_ratio` times the first attempts. An
    upstream in slow start may get `cold_factor` times its rate plus
    `cold_extra` requests/s. After `address_reuse`, another process may get the
    address of one that has ended.

    With `strict_revoke`, no request may run that arrives more than `revoke`
    after the store acknowledged a configuration without its API key. In any
    span of `quota_window`, the requests of an organisation that run may exceed
    its quota by the fraction `quota_over` and by `quota_slack` requests.
    """

    __slots__ = (
        'shutdown_grace',
        'undisturbed',
        'config_apply',
        'drain',
        'evacuation',
        'longest_hold',
        'retry_ratio',
        'retry_window',
        'retry_extra',
        'cold_factor',
        'cold_extra',
        'address_reuse',
        'strict_revoke',
        'revoke',
        'quota_window',
        'quota_over',
        'quota_slack',
    )

    def __init__(
        self,
        shutdown_grace,
        undisturbed,
        config_apply,
        drain,
        evacuation,
        longest_hold,
        retry_ratio,
        retry_window,
        retry_extra,
        cold_factor,
        cold_extra,
        address_reuse,
        strict_revoke=False,
        revoke=DEFAULT_REVOKE_SECONDS,
        quota_window=DEFAULT_QUOTA_WINDOW_SECONDS,
        quota_over=DEFAULT_QUOTA_OVER,
        quota_slack=DEFAULT_QUOTA_SLACK,
    ):
        self.shutdown_grace = shutdown_grace
        # Time after a disturbance within which all bounds must hold again.
        self.undisturbed = undisturbed
        self.config_apply = config_apply
        self.drain = drain
        self.evacuation = evacuation
        self.longest_hold = longest_hold
        self.retry_ratio = retry_ratio
        self.retry_window = retry_window
        self.retry_extra = retry_extra
        self.cold_factor = cold_factor
        self.cold_extra = cold_extra
        self.address_reuse = address_reuse
        self.strict_revoke = strict_revoke
        self.revoke = revoke
        self.quota_window = quota_window
        self.quota_over = quota_over
        self.quota_slack = quota_slack


class NodeSettings:
    """The settings file of a process.

    `store` is the store's address as (host, port), `min_lease_seconds` the
    shortest lease that the store grants, and `heartbeat` the interval at which
    upstreams write their entries, in seconds.
    """

    __slots__ = (
        'name',
        'failure_domain',
        'failure_domains',
        'listen',
        'store',
        'min_lease_seconds',
        'heartbeat',
        'bounds',
        'timings',
        'link_mbps',
        'cores',
        'memory_mb',
    )

    def __init__(
        self,
        name,
        failure_domain,
        failure_domains,
        listen,
        store,
        min_lease_seconds,
        heartbeat,
        bounds,
        link_mbps,
        cores,
        memory_mb=None,
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.failure_domains = failure_domains
        self.listen = listen
        self.store = store
        self.min_lease_seconds = min_lease_seconds
        self.heartbeat = heartbeat
        self.bounds = bounds
        self.timings = Timings(bounds, min_lease_seconds, heartbeat)
        # Resources of the machine: its network link and its share of cores.
        self.link_mbps = link_mbps
        self.cores = cores
        # Limit of the process in megabytes, or None; beyond it, it is killed.
        self.memory_mb = memory_mb

    def apply_bounds(self, other):
        """Apply the bounds of newly read settings."""
        self.bounds = other.bounds
        self.timings.update(other.bounds, self.min_lease_seconds)

    def differences(self, other):
        """Return the names of the settings that differ from `other`."""
        names = [
            n
            for n in ('name', 'failure_domain', 'store')
            if getattr(self, n) != getattr(other, n)
        ]
        for name in Bounds.__slots__:
            if getattr(self.bounds, name) != getattr(other.bounds, name):
                names.append(name)
        return names
