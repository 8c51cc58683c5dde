"""Statement classification, request options and the choice of a member."""
