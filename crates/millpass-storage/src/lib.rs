//! Durable storage of a control member: write-ahead log, hard state and snapshots.
