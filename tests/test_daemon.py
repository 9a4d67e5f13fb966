"""Test of the modules that the daemon imports."""

import subprocess
import sys

PROGRAM = """
import sys
import apricotwalk.daemon.__main__
import tornado.log
names = ("fire", "curses", "json5")
print(*(name for name in names if sys.modules.get(name) is not None), tornado.log.curses)
"""


def test_daemon_does_not_import_heavy_unused_libraries():
    command = [sys.executable, "-c", PROGRAM]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    assert result.stdout.split() == ["None"]
