"""Measurement of the cost of control traffic and state per node at several fleet sizes."""
