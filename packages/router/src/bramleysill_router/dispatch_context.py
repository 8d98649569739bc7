"""What the dispatchers of one router share."""


class DispatchContext:
    """What the dispatchers of a router share."""

    __slots__ = (
        'loop',
        'rng',
        'agent',
        'state',
        'send_to_coordinator',
        'metrics',
    )

    def __init__(self, loop, rng, agent, state, send, metrics):
        self.loop = loop
        self.rng = rng
        self.agent = agent
        self.state = state
        # Sends a message to the coordinator.
        self.send_to_coordinator = send
        self.metrics = metrics
