"""Hold the settings of processes and the declarations of operators."""
