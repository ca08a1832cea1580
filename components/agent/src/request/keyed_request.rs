//! Requests that carry an idempotency key.

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

/// What is known of a keyed request that must not run here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyedOutcome {
    /// It has not run and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran, with this answer.
    Done(RecordedResponse),
    /// It ran, and its answer isn't kept.
    NotKept,
    /// It may have run.
    Unknown,
}

impl KeyedOutcome {
    fn from_status(verdict: KeyStatus<'_>) -> KeyedOutcome {
        match verdict {
            KeyStatus::Revoked | KeyStatus::Full => KeyedOutcome::NotRun,
            KeyStatus::Running => KeyedOutcome::Running,
            KeyStatus::Done(outcome) => KeyedOutcome::Done(outcome.clone()),
            KeyStatus::DoneNotKept => KeyedOutcome::NotKept,
            KeyStatus::Unknown | KeyStatus::New => KeyedOutcome::Unknown,
        }
    }

    /// Reads the outcome from the owner's reply.
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

/// What the owner of a key should do with its request.
pub(crate) enum KeyedDecision {
    /// Run it.
    Run,
    /// Answer what is known.
    Answer(KeyedOutcome),
}

/// The ledger, shared by the traffic thread and the control thread.
#[derive(Clone)]
pub(crate) struct SharedLedger {
    ledger: Arc<Mutex<OutcomeLedger>>,
    incarnation: u64,
}

impl SharedLedger {
    /// Wraps the ledger of one incarnation of the agent.
    pub(crate) fn new(ledger: OutcomeLedger, incarnation: u64) -> SharedLedger {
        SharedLedger {
            ledger: Arc::new(Mutex::new(ledger)),
            incarnation,
        }
    }

    /// Returns the incarnation whose keys the ledger knows.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Calls `act` with the ledger.
    pub(crate) fn with<R>(&self, act: impl FnOnce(&mut OutcomeLedger) -> R) -> R {
        // A panic elsewhere can't leave the ledger half changed, so a poisoned lock is usable.
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut ledger)
    }

    /// Begins the request of a key that this agent owns.
    pub(crate) fn begin(&self, now: Millis, key: &IdempotencyKey) -> KeyedDecision {
        if key.incarnation != self.incarnation {
            return KeyedDecision::Answer(KeyedOutcome::Unknown);
        }
        self.with(|ledger| match ledger.begin(now, key.sequence) {
            KeyStatus::New => KeyedDecision::Run,
            verdict => KeyedDecision::Answer(KeyedOutcome::from_status(verdict)),
        })
    }
}

/// Answers another agent's question about a key, and fences the key if it has not run.
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
                // Without a place the key isn't fenced, so it could still run later.
                KeyStatus::Full => KeyedOutcome::Unknown,
                verdict => KeyedOutcome::from_status(verdict),
            })
        }
        _ => KeyedOutcome::Unknown,
    };
    outcome.into_reply()
}
