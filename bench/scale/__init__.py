"""Scale tests: the control path and the data path at a fraction of the platform's size (README.md here)."""
