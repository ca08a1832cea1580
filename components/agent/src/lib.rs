//! The agent daemon beside a backend server.
