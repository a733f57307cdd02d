"""Configuration formats: the platform's settings object and the operators' file."""
