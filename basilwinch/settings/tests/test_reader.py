"""Tests of reading settings."""

import argparse

import pytest

from basilwinch.exception import ConfigurationError
from basilwinch.settings import (
    DAEMON_SETTINGS,
    CountKind,
    ListKind,
    SecretKind,
    Setting,
    add_flags,
    read_or_exit,
    read_settings,
)


class _RefusingSecret(SecretKind):
    __slots__ = ()

    def parse(self, text):
        return self._refuse(text)


@pytest.fixture
def parser():
    parser = argparse.ArgumentParser("basilwinchd")
    add_flags(parser, DAEMON_SETTINGS)
    return parser


def test_defaults_are_valid():
    """Guards against a default that its own kind does not allow."""
    settings = read_settings(DAEMON_SETTINGS, {}, {})
    assert settings.listen == ("127.0.0.1", 8080)
    assert settings.embedded is False


def test_flag_overrides_variable_overrides_default():
    """Guards against a variable that overrides an explicit flag."""
    environ = {"BASILWINCH_ZONE": "garia", "BASILWINCH_DEADLINE": "5"}
    settings = read_settings(DAEMON_SETTINGS, {"zone": "saltlake"}, environ)
    assert (settings.zone, settings.deadline) == ("saltlake", 5.0)


def test_all_errors_are_listed_at_once():
    """Guards against having to start the daemon once for each invalid setting."""
    environ = {"BASILWINCH_LISTEN": "localhost:80", "BASILWINCH_BODY_LIMIT": "many"}
    with pytest.raises(ConfigurationError) as caught:
        read_settings(DAEMON_SETTINGS, {"log_style": "xml", "peers": "1.2.3.4:99999"}, environ)
    faults = " ".join(caught.value.failure.detail["faults"])
    for part in ("BASILWINCH_LISTEN", "'localhost:80'", "IP:PORT", "'many'", "'xml'", "--peers"):
        assert part in faults


def test_secret_is_not_printed():
    """Guards against secret keys in error messages."""
    kind = ListKind(CountKind(1, 9))
    public_setting = Setting("limits", kind, "", "Limits")
    secret_setting = Setting("keys", ListKind(_RefusingSecret()), "", "Keys")
    with pytest.raises(ConfigurationError) as caught:
        read_settings([public_setting, secret_setting], {"limits": "77", "keys": "hunter2"}, {})
    text = str(caught.value)
    assert "'77'" in text
    assert "--keys" in text
    assert "hunter2" not in text


def test_invalid_value_exits_with_usage_status(parser, capsys):
    """Guards against a daemon that starts with an invalid value."""
    with pytest.raises(SystemExit) as caught:
        read_or_exit(parser, DAEMON_SETTINGS, ["--body-limit", "1", "--deadline", "0"])
    assert caught.value.code == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
