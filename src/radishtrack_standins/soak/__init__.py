"""Randomized faults on real nodes, while clients check what the product promises."""
