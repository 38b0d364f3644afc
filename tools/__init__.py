"""Developer tools: generated pages, known failing tests, and analyses of plays."""
