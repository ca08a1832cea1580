//! Faults found in the tables.

use compact_str::CompactString;
use snafu::Snafu;

use crate::OneLine;

/// One fault in a table: where it is, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFault {
    /// Field with the fault, such as `pool[2].slots`.
    pub field: CompactString,
    /// What the field contains.
    pub found: CompactString,
    /// What the field may contain.
    pub allowed: &'static str,
}

impl std::fmt::Display for TableFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let TableFault {
            field,
            found,
            allowed,
        } = self;
        let field = OneLine(field);
        let found = OneLine(found);
        write!(formatter, "{field}: found {found}; allowed: {allowed}")
    }
}

/// Reasons why tables are rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TableError {
    /// The text isn't TOML with the fields of a table.
    #[snafu(display("{}", OneLine(source.message())))]
    Syntax {
        /// Error of the parser.
        source: toml::de::Error,
    },
    /// The check of the tables found faults.
    #[snafu(display("{} faults in the tables", faults.len()))]
    Faulty {
        /// Faults in both tables, at least one.
        faults: Vec<TableFault>,
    },
    /// No number is left for a new name.
    #[snafu(display("no number is left for `{name}`: all {limit} are assigned"))]
    NumbersExhausted {
        /// Name of the service or data centre.
        name: CompactString,
        /// How many numbers there are.
        limit: u32,
    },
}
