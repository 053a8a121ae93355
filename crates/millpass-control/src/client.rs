//! Client of the administration API, for the command line and the lab.
