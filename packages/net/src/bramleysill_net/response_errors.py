"""Errors of responses that can't be used; they fail their exchange.

They tell of bytes that a server has sent. A connection that can't be
established, is lost or ends too early fails with an OSError instead.
"""


class InvalidResponse(Exception):
    """A server has sent bytes that are no response to the request."""


class InvalidStatus(InvalidResponse):
    """A status that HTTP doesn't define, or 101, which nothing asks for."""


class ResponseTooLarge(InvalidResponse):
    """A response exceeds a limit."""
