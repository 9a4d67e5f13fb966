"""Names of the HTTP header fields that callers, nodes and backend servers use."""

from dataclasses import dataclass

__all__ = ["HeaderFieldNames"]


@dataclass(frozen=True, slots=True)
class HeaderFieldNames:
    """Header field names, in the spelling in which they are sent.

    Parameters
    ----------
    request_id : str
        Identifier of one attempt of a caller; the backend server repeats it in its answer.
    deadline_ms : str
        Remaining time in milliseconds for which the sender waits for an answer.
    expected_server : str
        Incarnation of the only backend server that may run the request.
    caller_service : str
        Service of the instance on which the request entered the mesh.
    signature : str
        Signature by which a backend server shows that an answer is its own.
    not_run : str
        Present in an answer whose request did not run.
    load : str
        Numbers of running requests, waiting requests and slots, separated by commas.
    server_incarnation : str
        Incarnation of the backend server that answers a health check.
    announced_rate : str
        Requests per second that a backend server in need accepts from all nodes together; absent
        from its answers otherwise.
    leaving : str
        Present in the answers of a backend server that shuts down soon.
    """

    request_id: str
    deadline_ms: str
    expected_server: str
    caller_service: str
    signature: str
    not_run: str
    load: str
    server_incarnation: str
    announced_rate: str
    leaving: str
