//! Control plane shared by both daemons: versions, keys and control connections.
