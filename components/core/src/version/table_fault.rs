//! Faults that the check of the tables finds.

use compact_str::CompactString;
use snafu::Snafu;

use crate::OneLine;

/// One fault in a table: where it is, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFault {
    /// Place of the fault, such as `pool[2].slots`.
    pub field: CompactString,
    /// What stands there.
    pub found: CompactString,
    /// What is allowed there.
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

/// Reasons why tables are refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TableError {
    /// The text isn't TOML of the right shape.
    #[snafu(display("{}", OneLine(source.message())))]
    Syntax {
        /// What the parser reports.
        source: toml::de::Error,
    },
    /// The tables contradict themselves or each other.
    #[snafu(display("{} faults in the tables", faults.len()))]
    Faulty {
        /// All faults found.
        faults: Vec<TableFault>,
    },
    /// No number is left for a new name.
    #[snafu(display("no number is left for `{name}`; {limit} names were used in all"))]
    NumbersExhausted {
        /// The name that got no number.
        name: CompactString,
        /// How many numbers exist.
        limit: u32,
    },
}
