"""Recordings of what the program did before it was reorganised, and the tests that compare with them."""
