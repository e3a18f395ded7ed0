"""Schedule requests across unequal endpoints to meet declared targets."""

__version__ = '0.1.0'
