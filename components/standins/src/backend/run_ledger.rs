//! Record of the non-idempotent requests that were run.

use compact_str::CompactString;

/// How often one non-idempotent request was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCount {
    /// Identity of the request.
    pub identity: CompactString,
    /// How often it was run.
    pub runs: u32,
}

/// Counts of runs, sorted by the identity of the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunLedger {
    entries: Vec<RunCount>,
}

impl RunLedger {
    /// Counts one run and returns how often the request was run by now.
    pub(crate) fn count_run(&mut self, identity: &str) -> u32 {
        let at = match self.position(identity) {
            Ok(at) => at,
            Err(at) => {
                let identity = identity.into();
                self.entries.insert(at, RunCount { identity, runs: 0 });
                at
            }
        };
        self.entries[at].runs += 1;
        self.entries[at].runs
    }

    /// Returns how often a request was run.
    pub(crate) fn runs_of(&self, identity: &str) -> u32 {
        let found = self.position(identity).ok();
        found.map_or(0, |at| self.entries[at].runs)
    }

    /// Returns all entries.
    pub(crate) fn entries(&self) -> &[RunCount] {
        &self.entries
    }

    fn position(&self, identity: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.identity.as_str().cmp(identity))
    }
}
