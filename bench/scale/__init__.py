"""Scale tests of the control path and the data path at a fraction of the platform's size; see README.md."""
