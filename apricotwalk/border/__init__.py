"""What a node of a mesh and the platform around it tell each other, in typed form.

Notes
-----
The adapter translates between these types and the platform's own names and formats.  Nothing
here decides anything.
"""

from apricotwalk.border._configuration import (
    CallerLimits,
    Route,
    RouteConfiguration,
    ServiceSettings,
    ServiceShare,
)
from apricotwalk.border._fields import HeaderFieldNames
from apricotwalk.border._heartbeats import Heartbeat, HeartbeatCall, HeartbeatReader
from apricotwalk.border._platform import Platform
from apricotwalk.border._settings import MeshBounds, MeshSettings
from apricotwalk.border._store import (
    HistoryLostError,
    KeyedRecord,
    KeyedStream,
    StoreError,
    StreamPage,
)

__all__ = [
    "CallerLimits",
    "HeaderFieldNames",
    "Heartbeat",
    "HeartbeatCall",
    "HeartbeatReader",
    "HistoryLostError",
    "KeyedRecord",
    "KeyedStream",
    "MeshBounds",
    "MeshSettings",
    "Platform",
    "Route",
    "RouteConfiguration",
    "ServiceSettings",
    "ServiceShare",
    "StoreError",
    "StreamPage",
]
