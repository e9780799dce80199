"""One limiter as a daemon, with readiness, activation sockets, name lock, control socket, snapshots and hot restart."""
