"""Schedule requests across unlike engines by declared targets."""

__version__ = '0.1.0'
