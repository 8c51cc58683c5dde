"""Fleet-wide rate limits: the allocator of an organisation and its holders."""
