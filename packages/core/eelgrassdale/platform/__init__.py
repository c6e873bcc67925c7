"""HTTP clients of the platform: object API, VM list and weight sources."""
