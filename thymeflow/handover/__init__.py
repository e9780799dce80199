"""Hot restart: a running limiter hands its listening socket and state over to its successor, and can take them back."""
