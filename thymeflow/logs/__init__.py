"""What is told of a running program: structured log lines that many instances may share."""
