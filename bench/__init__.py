"""The load tool: sends requests to a running system and measures the answers."""
