"""Client of the platform's log service."""

from apricotwalk.logservice._client import HttpLogService
from apricotwalk.logservice._interface import LogPage, LogRecord, LogService

__all__ = ["HttpLogService", "LogPage", "LogRecord", "LogService"]
