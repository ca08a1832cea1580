//! Client for the platform's key-value service.
