"""Injects process-level faults into running proxies and checks the guarantees."""
