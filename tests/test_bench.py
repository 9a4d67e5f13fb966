"""Tests of the benchmark's load generator, resource usage readings and result rows."""

import asyncio
import json
import os
import socketserver
import threading

import pytest

from apricotwalk_lab.bench import (
    BenchRow,
    PathLoad,
    cpu_seconds,
    format_row,
    idle_share,
    resident_megabytes,
    run_loads,
)
from apricotwalk_lab.bench.profile import profile_path


class _StatusHandler(socketserver.StreamRequestHandler):
    def handle(self):
        while line := self.rfile.readline():
            path = line.split()[1]
            while self.rfile.readline().strip():
                pass
            status = b"200 OK" if path == b"/good" else b"503 No"
            self.wfile.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\nok")


@pytest.fixture
def server_address():
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), _StatusHandler) as server:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_address[1]}"
        server.shutdown()


def test_loads_count_calls_and_failures(server_address):
    good = PathLoad("good", server_address, "/good", {}, rate=50.0)
    bad = PathLoad("bad", server_address, "/bad", {}, rate=50.0)
    run_loads([good, bad], seconds=0.2)
    assert (good.calls, good.failures) == (10, 0)
    assert (bad.calls, bad.failures) == (10, 10)
    assert good.percentile_ms(99) > 0


def test_resource_usage_of_this_process_is_read():
    assert cpu_seconds(os.getpid()) > 0
    assert resident_megabytes(os.getpid()) > 5


def test_idle_share_of_two_readings():
    assert idle_share([1, 0, 0, 10], [2, 0, 1, 18]) == 0.8


def test_row_is_one_line_of_rounded_json():
    row = BenchRow("direct", 82.0, 1.234, 2.0, 0.0, 0.0, {"node": 0.126}, {}, {}, 10, 0, 0.5)
    line = format_row(row)
    assert "\n" not in line
    assert json.loads(line)["p50_ms"] == 1.23
    assert json.loads(line)["cpu_us_per_call"] == {"node": 0.13}


def test_profile_of_the_entry_node_includes_its_calls(tmp_path):
    stats = asyncio.run(profile_path("near", rate=50.0, seconds=0.2, directory=tmp_path))
    assert "handle_call" in stats.get_stats_profile().func_profiles
