//! Tests of the caller against a simple HTTP/3 server.

mod caller_flow;
mod load_run;
mod plain_server;
