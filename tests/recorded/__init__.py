"""Recordings of decisions and bytes, made before the code was reorganised, and the tests that compare."""
