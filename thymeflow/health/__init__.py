"""Health of backends: statistics, ejection, slow start and pressure."""
