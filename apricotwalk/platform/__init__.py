"""Adapter of the users' platform: its names, formats and calls, and no decisions."""

from apricotwalk.platform._platform import ExternalPlatform, open_platform

__all__ = ["ExternalPlatform", "open_platform"]
