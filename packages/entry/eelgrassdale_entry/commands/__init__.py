"""Subcommands of `eelgrassdale`, one module each."""
