//! The control member process: disk, links, order delivery, administration API.
