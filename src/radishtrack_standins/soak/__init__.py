"""Soak test: random faults on real nodes, while clients check the guarantees."""
