"""The client side: listening socket, client connections and their pipelined responses."""
