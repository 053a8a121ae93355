//! Settings files: generated types, checks with remedies, and the settings reference.
