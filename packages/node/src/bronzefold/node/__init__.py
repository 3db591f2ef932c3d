"""The node process.

Imports nothing, so that ``command`` captures signals before anything else.
"""
