"""Programs for developers: generated pages and what CI passes over."""
