"""Measurements of bronzefold beside plainer ways, on the same stand-ins."""
