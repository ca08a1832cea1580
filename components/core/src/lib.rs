//! Decision logic of carobdrum, without I/O.
//!
//! Every type gets the current time as [`Millis`] and returns what is to be done; none reads a
//! clock, opens a socket or starts a task. Modules are grouped by the lifetime of the state that
//! they hold: a [`request`], a [`connection`], a [`version`] of the configuration, or a
//! [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

mod field_schema;
mod file_fault;
mod line_index;
mod millis;
mod name_rule;
mod parsed_file;
mod schema_checker;

pub use field_schema::{
    FieldKind,
    FieldSchema, //
};
pub use file_fault::{
    FileFault,
    OneLine, //
};
pub use millis::Millis;
pub use name_rule::{
    is_name,
    MAX_NAME_LEN,
    NAME_ALLOWED, //
};
pub use parsed_file::ParsedFile;
