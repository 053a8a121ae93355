//! Checkers of what must always hold, over histories of simulated and real runs.
