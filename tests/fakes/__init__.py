"""Stand-ins for engines, plain services, networks and collectors, for tests."""
