"""Tests of the testkit."""
