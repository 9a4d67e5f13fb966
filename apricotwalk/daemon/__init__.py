"""Daemons ``apricotwalkd`` and ``apricotwalk-mesh``.

Notes
-----
tornado imports curses, which takes 0.5 MB, to colour log lines on a terminal, and works without
it.  The daemons write their log lines as JSON, so curses is marked as absent here, before tornado
is imported.

A SIGHUP may arrive while modules are still being imported, and its default action ends the
process.  The signal is therefore ignored until a handler is installed.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.modules.setdefault("curses", None)  # type: ignore[arg-type]
