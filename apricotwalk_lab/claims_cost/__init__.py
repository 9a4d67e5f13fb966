"""Benchmark of the cost of idempotency keys in call latency and log appends."""
