"""Entry node and weights agent for backend servers that are called directly.

`eelgrassdale_entry` reaches a backend server through an agent on its VM. Here
no process of ours runs in front of a backend server: the entry nodes of this
package, called gateways, call it over HTTP and report its load to each other.
"""
