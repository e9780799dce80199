"""What frontend and backends share: RESP2, commands, long values and connections."""
