"""The context in which the dispatchers of one router run."""


class DispatchContext:
    """Objects that all dispatchers of one router share."""

    __slots__ = (
        'loop',
        'rng',
        'agent',
        'state',
        'send_to_coordinator',
        'metrics',
    )

    def __init__(self, loop, rng, agent, state, send_to_coordinator, metrics):
        self.loop = loop
        self.rng = rng
        self.agent = agent
        self.state = state
        self.send_to_coordinator = send_to_coordinator
        self.metrics = metrics
