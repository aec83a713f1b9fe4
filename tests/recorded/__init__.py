"""Recordings of the untouched behaviour, with the tests that compare against them."""
