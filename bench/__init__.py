"""Benchmarks of bronzefold and of simpler baselines on the same stand-ins."""
