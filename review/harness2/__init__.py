"""Stand-ins and a small runner for the cases 6 to 10; the standard library only."""
