"""Recordings of what the code decides, made before its reorganisation and never made again."""
