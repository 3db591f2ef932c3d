"""Stand-ins of the store, the users' platform and the upstreams."""
