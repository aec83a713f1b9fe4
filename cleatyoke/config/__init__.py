"""Configuration: reading, checking and reloading of settings."""
