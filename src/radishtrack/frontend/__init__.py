"""The MySQL server for clients, based on `mysql-mimic`."""
