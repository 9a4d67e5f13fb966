"""Paths, header field names and stream names of the external platform."""

from apricotwalk.border import HeaderFieldNames

__all__ = [
    "CONFIGURATION_KEY",
    "HEADER_FIELD_NAMES",
    "HEARTBEAT_PREFIX",
    "MEMBERS_TOPIC",
    "OPERATOR_TOPIC",
    "READINESS_PATH",
    "SETTINGS_DEFAULT_PATH",
    "SETTINGS_VARIABLE",
    "STORE_ERA_FIELD",
]

SETTINGS_VARIABLE = "APRICOTWALK_NODE_FILE"
SETTINGS_DEFAULT_PATH = "/etc/apricotwalk/settings.conf"
READINESS_PATH = "/api/ready"
HEARTBEAT_PREFIX = "/api/instances/"
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
MEMBERS_TOPIC = "keyed.members"
STORE_ERA_FIELD = "Store-Era"

# "Attempt-Id" identifies one attempt of a caller, not the caller's request, which may have several
# attempts.  "Deadline-Ms" is a remaining time, not a point in time.  "Server-Seal" signs the body,
# and only the platform can verify it.  "Server-Limit" is a rate, not a number of slots.
HEADER_FIELD_NAMES = HeaderFieldNames(
    request_id="Attempt-Id",
    deadline_ms="Deadline-Ms",
    expected_server="Expect-Instance",
    caller_service="Caller-Service",
    signature="Server-Seal",
    not_run="Not-Executed",
    load="Server-Load",
    server_incarnation="Instance-Id",
    announced_rate="Server-Limit",
    leaving="Server-Leaving",
)
