"""Stand-ins for the platform's log service, for backend servers and for network links."""
