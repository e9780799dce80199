"""State that outlives a process: what is remembered, what it means at a start, and the file it lies in."""
