"""Settings of processes and declarations of operators."""
