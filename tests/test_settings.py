"""Tests that a settings file is validated as a whole and that errors are specific."""

from __future__ import annotations

from pathlib import Path

import pytest

from radishtrack.settings import Address, load_settings, parse_settings

EXAMPLE = Path(__file__).parent.parent / "examples" / "node.toml"
VALID = EXAMPLE.read_text(encoding="utf-8")
SECRET = "replace-this-by-32-random-characters"


def test_the_example_is_valid() -> None:
    settings = load_settings(EXAMPLE).ok
    assert settings.node.zone == "oslo-a"
    assert settings.peers.seeds[1] == Address("127.0.0.1", 7308)
    assert settings.limits.max_statement_bytes == 1024 * 1024
    assert SECRET not in repr(settings)


def test_optional_tables_have_defaults() -> None:
    settings = parse_settings(VALID.partition("[limits]")[0], "n.toml").ok
    assert settings.limits.drain_timeout_ms == 30_000
    assert settings.log.format == "text"


@pytest.mark.parametrize(
    ("old", "new", "key", "expected", "found"),
    [
        ('id = "node-1"', "", "node.id", "text that is not empty", "nothing"),
        ('id = "node-1"', "id = 7", "node.id", "text", "an integer 7"),
        ("3306", "70000", "listen.client_port", "from 0 to 65535", "70000"),
        ("3306", "true", "listen.client_port", "an integer", "true"),
        ("client_host", "client_hots", "listen.client_hots", "only", "'client_host'?"),
        ("http://", "ftp://", "platform.url", "http://", "ftp://"),
        ("[node]", "[nodes]", "node", "a table", "nothing"),
        ("[node]", "[nodes]", "nodes", "only node", "did you mean 'node'?"),
        (SECRET, "short", "peers.secret", "at least 16 characters", "5 characters"),
        ("secret =", "secret_file =", "peers.secret_file", "readable", "No such file"),
        ("7308", "port", "peers.seeds", "host:port", "127.0.0.1:port"),
        ("7308", "7307", "peers.seeds", "different", "twice"),
        ('"text"', '"xml"', "log.format", "'text', 'json'", "'xml'"),
        ("30000", "0", "limits.drain_timeout_ms", "from 1", "0"),
        (
            "admin_port = 9306",
            'admin_port = 1\ntls_key = "k"',
            "listen.tls_certificate",
            "together",
            "nothing",
        ),
    ],
)
def test_an_invalid_setting_is_reported_with_expected_and_found(
    old: str, new: str, key: str, expected: str, found: str
) -> None:
    errors = parse_settings(VALID.replace(old, new), "n.toml").error
    assert any(
        error.key == key and expected in error.expected and found in error.found
        for error in errors
    ), [str(error) for error in errors]
    assert all(error.file == "n.toml" for error in errors)


def test_all_errors_are_reported_together() -> None:
    text = VALID.replace("3306", "-1").replace("[log]", "[logs]").replace("7306", "x")
    assert parse_settings(text, "n").error[0].expected == "TOML"
    text = text.replace("= x", '= "x"')
    keys = {error.key for error in parse_settings(text, "n").error}
    assert keys == {"listen.client_port", "listen.peer_port", "logs"}


def test_an_invalid_secret_is_not_shown_in_the_error() -> None:
    text = VALID.replace(f'"{SECRET}"', '["hunter2-hunter2-hunter2"]')
    text = text.replace('"replace-this-too"', "987654321")
    errors = parse_settings(text, "n.toml").error
    assert {error.key for error in errors} >= {
        "peers.secret",
        "database_login.password",
    }
    assert "hunter2" not in str(errors)
    assert "987654321" not in str(errors)


def test_the_secret_can_be_in_a_file_next_to_the_settings(tmp_path: Path) -> None:
    (tmp_path / "peer.secret").write_text(SECRET + "\n", encoding="utf-8")
    path = tmp_path / "node.toml"
    text = VALID.replace(f'secret = "{SECRET}"', 'secret_file = "peer.secret"')
    path.write_text(text, encoding="utf-8")
    assert load_settings(path).ok.peers.secret == SECRET


def test_a_missing_file_is_an_error_not_an_exception(tmp_path: Path) -> None:
    (error,) = load_settings(tmp_path / "none.toml").error
    assert "No such file" in error.found
