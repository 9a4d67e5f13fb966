"""Tests of the build command of the deploy file."""

import os
import shutil
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["build"]


@pytest.fixture
def checkout(tmp_path):
    """Return a folder with requirements that cannot be installed and newer, usable dependencies."""
    (tmp_path / "deploy").mkdir()
    requirements = tmp_path / "deploy" / "requirements.txt"
    requirements.write_text("no-such-package-of-apricotwalk==1\n", encoding="utf-8")
    os.utime(requirements, (time.time() - 100, time.time() - 100))
    dependencies = tmp_path / "target" / "deps"
    dependencies.mkdir(parents=True)
    for name in ("httptools", "loguru", "msgspec", "prometheus_client", "tornado", "uvloop"):
        (dependencies / f"{name}.py").touch()
    (dependencies / "xxhash.py").touch()
    return tmp_path


def build(checkout):
    """Run the build command without a package index and return whether it succeeded."""
    environment = {
        **os.environ,
        "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
        "PIP_NO_INDEX": "1",
        "PIP_FIND_LINKS": "",
    }
    shell = shutil.which("sh")
    return subprocess.run([shell, "-c", BUILD], cwd=checkout, env=environment).returncode == 0


def test_build_keeps_dependencies_that_can_be_imported(checkout):
    assert build(checkout)


def test_build_installs_dependencies_again_that_were_built_for_another_machine(checkout):
    """The folder is newer than the requirements, but its compiled modules cannot be loaded."""
    (checkout / "target" / "deps" / "uvloop.py").write_text("raise ImportError\n")
    assert not build(checkout)
