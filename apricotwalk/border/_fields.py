"""Names of the HTTP header fields that callers, nodes and backend servers use."""

from dataclasses import dataclass

__all__ = ["HeaderFieldNames"]


@dataclass(frozen=True, slots=True)
class HeaderFieldNames:
    """Header field names, in the spelling in which they are sent.

    Parameters
    ----------
    request_id : str
        Identifies one try of a caller; the backend server repeats it in its answer.
    deadline_ms : str
        Milliseconds that the sender waits.
    expected_server : str
        Incarnation of the backend server that alone may run the request.
    caller_service : str
        Service beside whose backend server the request began.
    signature : str
        The backend server's proof that an answer is its own.
    not_run : str
        Present in an answer whose request did not run.
    load : str
        Running requests, waiting requests and slots, separated by commas.
    server_incarnation : str
        Incarnation of the backend server that answers a health check.
    """

    request_id: str
    deadline_ms: str
    expected_server: str
    caller_service: str
    signature: str
    not_run: str
    load: str
    server_incarnation: str
