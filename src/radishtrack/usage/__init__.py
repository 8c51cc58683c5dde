"""Usage accounting: counters, cumulative reports and the owners' shares."""
