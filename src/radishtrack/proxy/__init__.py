"""The daemon: entry, holder and the promotion of members."""
