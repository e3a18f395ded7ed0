"""Hold the logic and the shell of the entry role."""
