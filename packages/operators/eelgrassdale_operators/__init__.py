"""Library with which operators write, check and apply a configuration."""
