"""Which nodes are there, which databases they hold slots of, and planned stops."""
