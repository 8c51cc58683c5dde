"""Order of the work that waits for a member's connections, and its refusals."""
