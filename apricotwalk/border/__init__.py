"""Types and interfaces through which a node of a mesh exchanges data with its platform.

Notes
-----
The adapter of a platform translates between these types and the platform's own names and
formats.  This package holds no decision logic.
"""

from apricotwalk.border._configuration import (
    CallerLimits,
    ConfigurationFault,
    Route,
    RouteConfiguration,
    ServiceSettings,
    ServiceShare,
)
from apricotwalk.border._fields import HeaderFieldNames
from apricotwalk.border._heartbeats import (
    MAX_SLOT_COUNT,
    Heartbeat,
    HeartbeatCall,
    HeartbeatReader,
)
from apricotwalk.border._platform import Platform
from apricotwalk.border._settings import DEFAULT_MEMORY_BYTES, MeshBounds, MeshSettings
from apricotwalk.border._store import (
    HistoryLostError,
    KeyedRecord,
    KeyedStream,
    StoreError,
    StreamPage,
)

__all__ = [
    "DEFAULT_MEMORY_BYTES",
    "MAX_SLOT_COUNT",
    "CallerLimits",
    "ConfigurationFault",
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
