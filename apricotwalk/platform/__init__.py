"""Adapter of the users' platform: its names, formats and calls, and no decisions."""

from apricotwalk.platform._platform import UsersPlatform, open_platform

__all__ = ["UsersPlatform", "open_platform"]
