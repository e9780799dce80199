"""The side of the clients: the listening socket, client connections and their pipelined responses."""
