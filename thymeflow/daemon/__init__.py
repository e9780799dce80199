"""One limiter as a daemon: readiness, activation sockets, name lock, control socket, snapshots and hot restart."""
