"""Members: who is there, who has failed, and what to do while they disagree (docs/fleet.md)."""
