"""Change freeze: an elected coordinator that decides which changes may happen during an incident."""
