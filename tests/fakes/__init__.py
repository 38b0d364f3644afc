"""Stand-ins for what lies outside the system."""
