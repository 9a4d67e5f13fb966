"""Stand-ins, load and measurements for apricotwalk; never imported by the product."""
