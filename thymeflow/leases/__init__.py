"""What the fleet as a whole may do, divided among its limiters and divided anew as they come and go."""
