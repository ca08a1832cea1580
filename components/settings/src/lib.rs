//! Settings files of the daemons and their checks.
