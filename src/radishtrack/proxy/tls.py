"""TLS contexts of a node."""

from __future__ import annotations

import ssl

from radishtrack.settings import Settings


def make_client_side_tls(settings: Settings) -> ssl.SSLContext | None:
    """Return the context for connections of clients; None without a certificate."""
    listen = settings.listen
    if not listen.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(listen.tls_certificate, listen.tls_key)
    return context


def make_peer_server_tls(settings: Settings) -> ssl.SSLContext | None:
    """Return the context for connections of peers; None if peers don't use TLS."""
    if not settings.peers.tls_ca:
        return None
    return make_client_side_tls(settings)


def make_peer_client_tls(settings: Settings) -> ssl.SSLContext | None:
    """Return the context for connections to peers.

    A peer's certificate must be signed by the authority in the settings and contain the
    address to which this node connects. The handshake over the connection proves the
    peer's identity by the peer secret.

    Returns
    -------
    ssl.SSLContext or None
        None if peers don't use TLS.
    """
    if not settings.peers.tls_ca:
        return None
    return ssl.create_default_context(cafile=settings.peers.tls_ca)
