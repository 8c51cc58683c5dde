"""Protocol between nodes: CBOR messages over WebSocket connections."""
