"""Entry node and weights agent for backend servers that are called directly.

`eelgrassdale_entry` reaches a backend server through an agent on its VM. Here
no process of ours stands before a backend server: entry nodes call it over
HTTP and share what they know of its load among themselves.
"""
