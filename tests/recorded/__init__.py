"""What the untouched code did, recorded, and tests that compare today's code with it."""
