//! Open-loop callers, answer checks, histories and histograms.
