"""One limiter as a daemon: readiness, sockets handed in, a lock, a control socket, snapshots, hand-over."""
