"""The protocol between nodes: CBOR messages over WebSocket connections."""
