"""Tests of the start and the end of real node processes on an uncooperative machine."""

import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import contextmanager

import pytest

from tests.mesh_fakes import free_address

pytestmark = pytest.mark.processes

# Longer than a start takes on a busy machine.
START_SECONDS = 20.0
OBSTACLE_SECONDS = 1.0
LISTEN_NAMES = ("listen.outbound", "listen.ready", "listen.control", "internal-ports")


class NodeProcess:
    """A real node without a store, with a settings file in a temporary folder."""

    def __init__(self, folder):
        self.path = folder / "settings.conf"
        self.output = folder / "output.log"
        self.address_by_name = {name: free_address() for name in (*LISTEN_NAMES, "app-addr")}
        self.process: subprocess.Popen | None = None

    def settings_text(self):
        address_by_name = self.address_by_name
        fields = {
            "node": "sidecar-a-1",
            "service": "menu-svc",
            "zone": "a",
            "region": "r",
            "ip": address_by_name["internal-ports"].host,
            "internal-ports": f"{address_by_name['internal-ports'].port},0",
            "seeds": "",
            "heartbeat-interval": "1500ms",
            "platform.address": str(free_address()),
            "bounds.drain-period": "2000ms",
            "bounds.grace-period": "6s",
            "bounds.config-propagation": "2000ms",
            "bounds.budget-ratio": "0.2",
            "bounds.budget-window": "10s",
            "bounds.budget-slack": "49",
        }
        for name in ("listen.outbound", "listen.ready", "listen.control", "app-addr"):
            fields[name] = str(address_by_name[name])
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    def start(self):
        command = [sys.executable, "-m", "apricotwalk.daemon.mesh"]
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                env={"APRICOTWALK_NODE_FILE": str(self.path), "PYTHONPATH": ":".join(sys.path)},
            )

    def wait_until_listening(self, name):
        """Wait until the HTTP port with this name answers."""
        url = f"http://{self.address_by_name[name]}/api/ready"
        deadline = time.monotonic() + START_SECONDS
        while True:
            assert self.process.poll() is None, self.output.read_text()
            try:
                with urllib.request.urlopen(url, timeout=1.0):
                    return
            except urllib.error.HTTPError:
                return
            except OSError:
                assert time.monotonic() < deadline, self.output.read_text()
                time.sleep(0.02)

    def stop(self):
        """Stop the process and return its exit status."""
        self.process.terminate()
        return self.process.wait(timeout=START_SECONDS)


@pytest.fixture
def node(tmp_path):
    """Return a node that is not started, and end its process after the test."""
    node = NodeProcess(tmp_path)
    yield node
    if node.process is not None:
        node.process.kill()
        node.process.wait()


@contextmanager
def occupied(address):
    with socket.socket() as holder:
        holder.bind((address.host, address.port))
        holder.listen()
        yield


@pytest.mark.parametrize("name", LISTEN_NAMES)
def test_node_starts_while_a_port_is_occupied_and_opens_it_later(node, name):
    """The port of a process that has just ended can be occupied for a moment."""
    node.path.write_text(node.settings_text())
    others = [other for other in LISTEN_NAMES if other not in (name, "internal-ports")]
    with occupied(node.address_by_name[name]):
        node.start()
        for other in others:
            node.wait_until_listening(other)
        time.sleep(OBSTACLE_SECONDS)
        assert node.process.poll() is None
    if name == "internal-ports":
        wait_until_connectable(node.address_by_name[name])
    else:
        node.wait_until_listening(name)
    assert '"address-unavailable"' in node.output.read_text()
    assert node.stop() == 0


def wait_until_connectable(address):
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            socket.create_connection((address.host, address.port), timeout=1.0).close()
            return
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(0.02)


@pytest.mark.parametrize("share", [0.0, 0.5])
def test_node_waits_for_settings_that_are_missing_or_incomplete(node, share):
    """The platform can start the process before it has written the whole file."""
    text = node.settings_text()
    if share:
        node.path.write_text(text[: int(len(text) * share)])
    node.start()
    deadline = time.monotonic() + START_SECONDS
    while "waiting for settings" not in node.output.read_text():
        assert node.process.poll() is None and time.monotonic() < deadline
        time.sleep(0.02)
    time.sleep(OBSTACLE_SECONDS)
    assert node.process.poll() is None, node.output.read_text()
    node.path.write_text(text)
    node.wait_until_listening("listen.ready")
    assert node.stop() == 0


def test_hangups_during_a_stop_do_not_end_the_process_with_a_signal(node):
    """The event loop restores the default action of SIGHUP while it closes."""
    node.path.write_text(node.settings_text())
    node.start()
    node.wait_until_listening("listen.ready")
    node.process.terminate()
    deadline = time.monotonic() + START_SECONDS
    while node.process.poll() is None and time.monotonic() < deadline:
        node.process.send_signal(signal.SIGHUP)
        time.sleep(0.0005)
    assert node.process.returncode == 0


def test_package_imports_nothing_before_the_daemon_ignores_hangups():
    """Importing other modules takes longer than the platform waits before it sends SIGHUP."""
    code = (
        "import sys\nbefore = set(sys.modules)\nimport apricotwalk.daemon\n"
        "print(*sorted(set(sys.modules) - before - {'curses', 'signal'}))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.split() == ["apricotwalk", "apricotwalk.daemon"]
