"""Many limiters from one settings file: who is started, rolled, scaled and stopped, and when."""
