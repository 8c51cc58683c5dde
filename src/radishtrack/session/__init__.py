"""Session consistency: log positions and the token that carries them."""
