"""Adapter to the external platform: its names, formats and calls, without decision logic."""

from apricotwalk.platform._platform import ExternalPlatform, open_platform

__all__ = ["ExternalPlatform", "open_platform"]
