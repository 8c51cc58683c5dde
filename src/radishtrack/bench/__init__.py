"""Open-loop load generator with a ledger of client outcomes, and its reports."""
