"""Tests of flamingosail."""
