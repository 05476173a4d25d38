"""Stand-ins and helpers of the review's cases 6 to 10; the standard library alone."""
