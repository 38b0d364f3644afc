"""The load tool: offers load to a running system and measures the answers."""
