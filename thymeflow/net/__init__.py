"""The real limiter round the decision module: sockets, clocks and files, and no decision of its own."""
