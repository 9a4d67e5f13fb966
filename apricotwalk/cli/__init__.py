"""Command-line tool `apricotwalk` for operators."""
