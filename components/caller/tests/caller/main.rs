//! Tests of the caller against a plain HTTP/3 server.

mod caller_flow;
mod load_run;
mod plain_server;
