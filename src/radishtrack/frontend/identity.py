"""Authenticates clients by their keys during the MySQL handshake."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mysql_mimic.auth import (
    AuthInfo,
    AuthPlugin,
    AuthState,
    Forbidden,
    IdentityProvider,
    Success,
    User,
)
from mysql_mimic.utils import nonce as make_nonce

NONCE_BYTES = 20

CheckKey = Callable[[str, bytes, bytes], str | None]
"""Takes organisation, nonce and scramble; returns the key's ID, or None if invalid."""


class KeyPlugin(AuthPlugin):
    """The ``mysql_native_password`` method with keys as passwords.

    A successful login gets the user name ``organisation/key ID``, so that the session
    can check before each statement that the key is still active.
    """

    name = "mysql_native_password"
    client_plugin_name = "mysql_native_password"

    def __init__(self, check_key: CheckKey) -> None:
        self.check_key = check_key

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        """Authenticate one login; see `mysql_mimic.auth.AuthPlugin`."""
        if auth_info and auth_info.handshake_auth_data:
            nonce = auth_info.handshake_auth_data.rstrip(b"\x00")
        else:
            nonce = make_nonce(NONCE_BYTES)
            auth_info = yield nonce + b"\x00"
        organisation = auth_info.username
        key_id = self.check_key(organisation, nonce, auth_info.data)
        if key_id is None:
            yield Forbidden(f"Access denied for organisation '{organisation}'")
        else:
            yield Success(f"{organisation}/{key_id}")


class KeyIdentityProvider(IdentityProvider):
    """Offers authentication by key for every organisation name.

    Unknown organisations fail in the same way as wrong keys, so that a client cannot
    find out which names exist.
    """

    def __init__(self, check_key: CheckKey) -> None:
        self.plugin = KeyPlugin(check_key)

    def get_plugins(self) -> Sequence[AuthPlugin]:
        """Return the only authentication method."""
        return [self.plugin]

    async def get_user(self, username: str) -> User:
        """Return a user that is authenticated by key."""
        return User(name=username, auth_plugin=self.plugin.name)
