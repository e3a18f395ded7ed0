"""Hold the commands of the persimmonroute tool."""
