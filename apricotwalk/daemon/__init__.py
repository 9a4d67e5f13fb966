"""The daemon `apricotwalkd`.

Notes
-----
tornado loads curses, 0.5 MB, to colour log lines on a terminal, and does without it where it is
absent.  The daemon writes JSON lines by loguru, so the module is marked as absent here, before
anything loads tornado.

Loading the modules takes longer than it may take until the first SIGHUP, which would end the
process; it is ignored until a handler is set.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.modules.setdefault("curses", None)  # type: ignore[arg-type]
