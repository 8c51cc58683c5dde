"""Admission at a holder: fair queueing for connections and the retry budget."""
