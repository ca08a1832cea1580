//! The balancer daemon.
