"""What is known of the health of backends: statistics, ejection, slow start and pressure."""
