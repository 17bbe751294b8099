"""Tests: a file for each module, and example files checked as data."""
