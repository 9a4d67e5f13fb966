"""Overload control layer for service call graphs.

One small process, the node, runs beside each backend server instance.  Callers send HTTP
requests to a node; the node admits or sheds each request by the rank that a template gives
it, forwards it to the node beside a chosen backend server, and returns the whole answer
together with a verdict that says whether the work may have run.

Notes
-----
The names below are loaded on first use.  The daemons import this package before they can ignore
SIGHUP, whose default action ends the process, so it must not import anything else by itself.
"""

TYPE_CHECKING = False
if TYPE_CHECKING:
    from apricotwalk.core import ApricotwalkError, CallFailure, Verdict

__all__ = ["ApricotwalkError", "CallFailure", "Verdict", "__version__"]

__version__ = "0.1.0"


def __getattr__(name: str) -> object:
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from apricotwalk import core

    return getattr(core, name)
