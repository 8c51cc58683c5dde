"""The clients' side: a MySQL server over `mysql-mimic`."""
