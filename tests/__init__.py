"""Tests of bronzefold."""
