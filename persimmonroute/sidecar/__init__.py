"""Hold the logic and the shell of the sidecar role."""
