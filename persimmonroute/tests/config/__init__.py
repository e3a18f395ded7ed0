"""Tests of settings and declarations."""
