"""Drives process-level faults against running proxies and judges the guarantees."""
