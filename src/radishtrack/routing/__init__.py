"""Statement classification, request options and selection of a member."""
