"""Configuration: reads, validates and reloads the settings."""
