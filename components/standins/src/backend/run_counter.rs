//! Run counts of non-idempotent requests, which show requests that were run twice.

use compact_str::CompactString;

/// How often one non-idempotent request was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCount {
    /// Identity of the request, chosen by its caller in a header.
    pub identity: CompactString,
    /// Runs since the start of the server; restarts and resets keep them.
    pub runs: u32,
}

/// Run counts, sorted by the identity of the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounter {
    entries: Vec<RunCount>,
}

impl RunCounter {
    /// Counts one run and returns the runs of the request so far.
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

    /// Returns the runs of a request, 0 if it is unknown.
    pub(crate) fn runs_of(&self, identity: &str) -> u32 {
        let found = self.position(identity).ok();
        found.map_or(0, |at| self.entries[at].runs)
    }

    /// Returns all entries, sorted by identity.
    pub(crate) fn entries(&self) -> &[RunCount] {
        &self.entries
    }

    fn position(&self, identity: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.identity.as_str().cmp(identity))
    }
}
