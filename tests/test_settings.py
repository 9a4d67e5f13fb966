"""Tests of reading and validating settings files."""

import pytest

from apricotwalk.core import SettingsError
from apricotwalk.settings import Address, load_settings

VALID_SETTINGS = """{
  // comments are allowed
  "instance": "menu-1", "availability_zone": "accra-a",
  "listen": {"callers": "127.0.0.1:1", "server": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "log_service": "127.0.0.1:4",
}"""


@pytest.fixture
def write(tmp_path):
    def write_text(text: str) -> str:
        path = tmp_path / "node.json"
        path.write_text(text)
        return str(path)

    return write_text


def test_comments_and_trailing_commas_are_accepted(write):
    assert load_settings(write(VALID_SETTINGS)).instance == "menu-1"


@pytest.mark.parametrize(
    ("old", "new", "position"),
    [
        ('"instance": "menu-1"', '"instance": 7', "instance"),
        ('"instance": "menu-1"', '"instance": "a", "instance": "b"', "instance"),
        ('"log_service"', '"log_sevice"', "log_sevice"),
        ("127.0.0.1:4", "localhost:4", "log_service"),
        ("127.0.0.1:2", "127.0.0.1:70000", "listen.server"),
        ('"instance"', "instance:", ":3"),
    ],
)
def test_invalid_settings_are_reported_with_their_position(write, old, new, position):
    path = write(VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(caught.value).startswith(path)
    assert position in str(caught.value)


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(tmp_path / "absent.json")


@pytest.mark.parametrize("text", ["host:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x"])
def test_address_must_be_a_numeric_host_and_a_port(text):
    with pytest.raises(SettingsError):
        Address.parse(text)


def test_ipv6_address_is_parsed():
    assert Address.parse("[::1]:80") == Address("::1", 80)
