"""The front for SFTP-style file commands, without the cryptography."""
