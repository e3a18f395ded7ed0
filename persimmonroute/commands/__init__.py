"""Commands of the persimmonroute command line tool."""
