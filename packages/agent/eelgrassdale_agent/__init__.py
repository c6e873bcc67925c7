"""Agent that runs beside one backend server."""
