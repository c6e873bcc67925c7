"""Entry node and operators' command line."""
