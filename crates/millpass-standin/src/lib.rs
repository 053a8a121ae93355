//! Stand-ins for outside systems: engine, web back end, weight store, platform list.
