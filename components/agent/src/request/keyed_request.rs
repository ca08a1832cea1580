//! Requests with an idempotency key, and the ledger of their outcomes.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use carobdrum_core::{
    request::{
        IdempotencyKey,
        KeyStatus,
        OutcomeLedger,
        RecordedResponse, //
    },
    version::KeyRing,
    Millis,
};
use carobdrum_wire::control::{
    HeaderField,
    OutcomeReply, //
};

const OUTCOME_NOT_RUN: u32 = 1;
const OUTCOME_RUNNING: u32 = 2;
const OUTCOME_DONE: u32 = 3;
const OUTCOME_NOT_KEPT: u32 = 4;
const OUTCOME_UNKNOWN: u32 = 5;

/// What is known about a request with an idempotency key that must not run here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyedOutcome {
    /// It has not run and will not run.
    NotRun,
    /// It is running.
    Running,
    /// It ran and got this response.
    Done(RecordedResponse),
    /// It ran, but its response wasn't kept.
    NotKept,
    /// It may have run.
    Unknown,
}

impl KeyedOutcome {
    fn from_status(status: KeyStatus<'_>) -> KeyedOutcome {
        match status {
            KeyStatus::Revoked | KeyStatus::Full => KeyedOutcome::NotRun,
            KeyStatus::Running => KeyedOutcome::Running,
            KeyStatus::Done(outcome) => KeyedOutcome::Done(outcome.clone()),
            KeyStatus::DoneNotKept => KeyedOutcome::NotKept,
            KeyStatus::Unknown | KeyStatus::New => KeyedOutcome::Unknown,
        }
    }

    /// Decodes the outcome from the reply of the key's owner.
    pub(crate) fn from_reply(reply: OutcomeReply) -> KeyedOutcome {
        match reply.outcome {
            OUTCOME_NOT_RUN => KeyedOutcome::NotRun,
            OUTCOME_RUNNING => KeyedOutcome::Running,
            OUTCOME_NOT_KEPT => KeyedOutcome::NotKept,
            OUTCOME_DONE => {
                let headers = reply.headers.into_iter().map(|field| {
                    let value = String::from_utf8_lossy(&field.value);
                    (field.name.into(), value.into())
                });
                KeyedOutcome::Done(RecordedResponse {
                    status: reply.status as u16,
                    headers: headers.collect(),
                    body: reply.body,
                })
            }
            _ => KeyedOutcome::Unknown,
        }
    }

    fn into_reply(self) -> OutcomeReply {
        let outcome = |outcome| OutcomeReply {
            outcome,
            ..OutcomeReply::default()
        };
        match self {
            KeyedOutcome::NotRun => outcome(OUTCOME_NOT_RUN),
            KeyedOutcome::Running => outcome(OUTCOME_RUNNING),
            KeyedOutcome::NotKept => outcome(OUTCOME_NOT_KEPT),
            KeyedOutcome::Unknown => outcome(OUTCOME_UNKNOWN),
            KeyedOutcome::Done(recorded) => {
                let headers = recorded
                    .headers
                    .into_iter()
                    .map(|(name, value)| HeaderField {
                        name: name.into(),
                        value: value.as_bytes().to_vec(),
                    });
                OutcomeReply {
                    outcome: OUTCOME_DONE,
                    status: u32::from(recorded.status),
                    headers: headers.collect(),
                    body: recorded.body,
                }
            }
        }
    }
}

/// What the owner of a key does with a request.
pub(crate) enum KeyedDecision {
    /// Run the request.
    Run,
    /// Respond with what is known about the request.
    Respond(KeyedOutcome),
}

/// The outcome ledger, shared by the traffic thread and the control thread.
#[derive(Clone)]
pub(crate) struct SharedLedger {
    ledger: Arc<Mutex<OutcomeLedger>>,
    incarnation: u64,
}

impl SharedLedger {
    /// Creates the shared ledger of one incarnation of the agent.
    pub(crate) fn new(ledger: OutcomeLedger, incarnation: u64) -> SharedLedger {
        SharedLedger {
            ledger: Arc::new(Mutex::new(ledger)),
            incarnation,
        }
    }

    /// Returns the incarnation that issued the ledger's keys.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Calls `act` with the locked ledger.
    pub(crate) fn with<R>(&self, act: impl FnOnce(&mut OutcomeLedger) -> R) -> R {
        // A panic in another thread can't leave the ledger inconsistent, so a poisoned lock is
        // usable.
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut ledger)
    }

    /// Decides whether a request with a key that this agent issued may run, and records it as
    /// running if so.
    pub(crate) fn begin(&self, now: Millis, key: &IdempotencyKey) -> KeyedDecision {
        if key.incarnation != self.incarnation {
            return KeyedDecision::Respond(KeyedOutcome::Unknown);
        }
        self.with(|ledger| match ledger.begin(now, key.sequence) {
            KeyStatus::New => KeyedDecision::Run,
            status => KeyedDecision::Respond(KeyedOutcome::from_status(status)),
        })
    }
}

/// Answers another agent's query about a key. A key whose request has not run is revoked.
pub(crate) fn answer_outcome_query(
    text: &str,
    ring: Option<&KeyRing>,
    ledger: &SharedLedger,
    now: Millis,
) -> OutcomeReply {
    let key = ring.and_then(|ring| IdempotencyKey::open(text, ring).ok());
    let outcome = match key {
        Some(key) if key.incarnation == ledger.incarnation => {
            ledger.with(|ledger| match ledger.revoke(now, key.sequence) {
                // A full ledger can't revoke the key, so its request could still run later.
                KeyStatus::Full => KeyedOutcome::Unknown,
                status => KeyedOutcome::from_status(status),
            })
        }
        _ => KeyedOutcome::Unknown,
    };
    outcome.into_reply()
}
