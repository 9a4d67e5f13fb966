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


def test_mesh_entry_point_ignores_hangups_before_it_imports_the_node():
    """A SIGHUP that arrives while the modules are being imported must not end the process."""
    code = (
        "import signal, sys, apricotwalk.daemon.mesh as mesh\n"
        "assert not any(name.startswith('apricotwalk.meshnode') for name in sys.modules)\n"
        "sys.argv = ['mesh', '--help']\n"
        "try:\n    mesh.main()\nexcept SystemExit:\n    pass\n"
        "assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, stdout=subprocess.DEVNULL)
