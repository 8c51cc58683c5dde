"""Session pooler: serves client sessions on the members' connections of one node."""
