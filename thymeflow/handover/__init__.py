"""Hot restart: a running limiter hands its listening socket and state over to a successor, and can roll that back."""
