"""One limiter after another at the same address: who accepts, with what state, and who takes it back."""
