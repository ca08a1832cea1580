//! Outcome of an idempotency key at the end of its request.

use carobdrum_core::request::FinalOutcome;

use super::RequestHandler;

/// Records the outcome of an idempotency key when its request ends in any way.
pub(super) struct LedgerGuard<'a> {
    handler: &'a RequestHandler,
    sequence: Option<u64>,
    sent: bool,
}

impl<'a> LedgerGuard<'a> {
    /// Creates the guard of a request; without a sequence number there is no key.
    pub(super) fn new(handler: &'a RequestHandler, sequence: Option<u64>) -> LedgerGuard<'a> {
        LedgerGuard {
            handler,
            sequence,
            sent: false,
        }
    }

    /// Records that the server may run the request.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records the outcome of the request.
    pub(super) fn complete(mut self, outcome: FinalOutcome) {
        if let Some(sequence) = self.sequence.take() {
            let now = self.handler.now();
            let ledger = &self.handler.parts.ledger;
            ledger.with(|ledger| ledger.complete(now, sequence, outcome));
        }
    }
}

impl Drop for LedgerGuard<'_> {
    fn drop(&mut self) {
        let Some(sequence) = self.sequence.take() else {
            return;
        };
        let now = self.handler.now();
        let sent = self.sent;
        self.handler.parts.ledger.with(|ledger| {
            if sent {
                ledger.complete(now, sequence, FinalOutcome::Unknown)
            } else {
                ledger.release(sequence)
            }
        });
    }
}
