//! The router process: caller API, dispatch, streaming, link to the control group.
