//! Faults found by one check of the tables.

use std::ops::RangeInclusive;

use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};

use super::TableFault;
use crate::name_rule::{
    is_name,
    NAME_ALLOWED, //
};

/// Maximum number of faults that one check reports. It is limited because each pair of rows can be
/// a fault of its own.
const MAX_FAULTS: usize = 1_000;

/// Collects up to [`MAX_FAULTS`] faults.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<TableFault>,
}

impl FaultList {
    /// Adds a fault, unless it is already listed; the last possible entry says instead that others
    /// are not listed.
    pub(super) fn push(
        &mut self,
        field: CompactString,
        found: CompactString,
        allowed: &'static str,
    ) {
        let is_known = |fault: &TableFault| fault.field == field && fault.found == found;
        if self.is_full() || self.faults.iter().any(is_known) {
            return;
        }
        let is_last = self.faults.len() + 1 == MAX_FAULTS;
        self.faults.push(TableFault {
            field,
            found: if is_last {
                format_compact!("{MAX_FAULTS} faults or more; the rest is not listed")
            } else {
                found
            },
            allowed,
        });
    }

    /// Returns whether further faults would be ignored.
    pub(super) fn is_full(&self) -> bool {
        self.faults.len() >= MAX_FAULTS
    }

    /// Adds a fault if `name` isn't a valid name.
    pub(super) fn check_name(&mut self, field: CompactString, name: &str) {
        if !is_name(name) {
            self.push(field, format_compact!("`{name}`"), NAME_ALLOWED);
        }
    }

    /// Adds a fault if `value` is outside `range`, which `allowed` describes.
    pub(super) fn check_range(
        &mut self,
        field: CompactString,
        value: u32,
        range: RangeInclusive<u32>,
        allowed: &'static str,
    ) {
        if !range.contains(&value) {
            self.push(field, value.to_compact_string(), allowed);
        }
    }

    /// Returns the faults in the order in which they were found.
    pub(super) fn into_faults(self) -> Vec<TableFault> {
        self.faults
    }
}
