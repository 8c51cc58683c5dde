"""Open-loop load, the ledger of what callers were told, and reports."""
