//! Bodies of the administration API (JSON).
