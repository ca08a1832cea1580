//! Outcome ledger and idempotency keys, with operations and evictions in random order.

mod case_table;

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::{
    request::{
        FinalOutcome,
        IdempotencyKey,
        IdempotencyKeyError,
        KeyStatus,
        LedgerLimits,
        OutcomeLedger,
        RecordedResponse, //
    },
    version::{
        FleetKey,
        KeyRing, //
    },
    Millis,
};
use proptest::prelude::*;

const LIMITS: LedgerLimits = LedgerLimits {
    max_keys: 6,
    max_bytes: 100,
    retention: Millis(500),
};

#[derive(Clone, Debug)]
enum Step {
    Issue,
    Begin(u64),
    Complete(u64, u8),
    Release(u64),
    Revoke(u64),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let key = || 0u64..24;
    let step = prop_oneof![
        3 => Just(Step::Issue),
        6 => key().prop_map(Step::Begin),
        4 => (key(), 0u8..4).prop_map(|(key, kind)| Step::Complete(key, kind)),
        1 => key().prop_map(Step::Release),
        2 => key().prop_map(Step::Revoke),
        1 => (0u64..300).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..150)
}

/// What has happened to one key so far.
#[derive(Clone, Debug, Default)]
struct History {
    issued: bool,
    /// Whether the request is running or has run.
    ran: bool,
    revoked: bool,
    recorded: Option<RecordedResponse>,
}

fn outcome_of(sequence: u64, kind: u8) -> FinalOutcome {
    let recorded = |len: usize| RecordedResponse {
        status: 200 + sequence as u16,
        headers: vec![("x-key".into(), "value".into())],
        body: vec![sequence as u8; len],
    };
    match kind {
        0 => FinalOutcome::NotKept,
        1 => FinalOutcome::Unknown,
        2 => FinalOutcome::Kept(recorded(20)),
        _ => FinalOutcome::Kept(recorded(95)),
    }
}

/// Checks a status against the history and returns whether the request must be run.
fn check(history: &History, status: &KeyStatus<'_>) -> bool {
    match status {
        KeyStatus::New => {
            assert!(history.issued, "a key that was never issued may run");
            assert!(!history.ran, "a key may run twice");
            assert!(!history.revoked, "a revoked key may run");
            return true;
        }
        KeyStatus::Revoked => assert!(!history.ran, "a key that ran was reported as not run"),
        KeyStatus::Done(recorded) => {
            assert_eq!(
                history.recorded.as_ref(),
                Some(*recorded),
                "the response belongs to another key"
            );
        }
        KeyStatus::DoneNotKept | KeyStatus::Running => assert!(history.ran),
        KeyStatus::Unknown | KeyStatus::Full => {}
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a request that runs twice, or is reported as not run after it ran, when
    /// repetitions, revocations and evictions come in any order.
    #[test]
    fn key_runs_at_most_once(steps in steps()) {
        let mut ledger = OutcomeLedger::new(LIMITS);
        let mut now = Millis(0);
        let mut histories = vec![History::default(); 256];
        for step in &steps {
            match *step {
                Step::Issue => histories[ledger.issue() as usize].issued = true,
                Step::Begin(key) => {
                    let history = &mut histories[key as usize];
                    history.ran |= check(history, &ledger.begin(now, key));
                }
                Step::Complete(key, kind) => {
                    let outcome = outcome_of(key, kind);
                    if ledger.complete(now, key, outcome.clone()) {
                        let history = &mut histories[key as usize];
                        prop_assert!(history.ran && history.recorded.is_none());
                        if let FinalOutcome::Kept(recorded) = outcome {
                            history.recorded = Some(recorded);
                        }
                    }
                }
                Step::Release(key) => {
                    if ledger.release(key) {
                        histories[key as usize].ran = false;
                    }
                }
                Step::Revoke(key) => {
                    let history = &mut histories[key as usize];
                    let status = ledger.revoke(now, key);
                    prop_assert!(!check(history, &status), "a revocation started a request");
                    history.revoked |= status == KeyStatus::Revoked;
                }
                Step::Advance(span) => now = now.plus(Millis(span)),
            }
            prop_assert!(ledger.len() <= LIMITS.max_keys && ledger.bytes() <= LIMITS.max_bytes);
        }
    }

    /// Guards against a key that is modified in transit and then accepted for another agent or
    /// sequence.
    #[test]
    fn changed_key_is_not_accepted(at in 0usize..102, digit in 0u32..16, sequence: u64) {
        let key = key_of(sequence);
        let text = key.seal(&fleet_key(1), [7; 12]);
        prop_assert_eq!(IdempotencyKey::open(&text, &ring()), Ok(key));
        let mut changed = text.to_string();
        let digit = char::from_digit(digit, 16).expect("below 16").to_string();
        changed.replace_range(at..=at, &digit);
        prop_assume!(changed != text.as_str());
        prop_assert!(IdempotencyKey::open(&changed, &ring()).is_err());
    }
}

fn key_of(sequence: u64) -> IdempotencyKey {
    IdempotencyKey {
        agent: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4_433),
        incarnation: 1_764_000_000_000,
        sequence,
    }
}

fn fleet_key(phase: u8) -> FleetKey {
    FleetKey::new(phase, [phase + 1; 32])
}

fn ring() -> KeyRing {
    KeyRing::new(1, 1, [fleet_key(0), fleet_key(1)])
}

case_table! {
    /// Guards against taking an old key for one that was never issued: its request would be
    /// reported as not run although it may have run.
    fn unusable_key_is_rejected_with_its_reason(text: String, expected: IdempotencyKeyError) {
        assert_eq!(IdempotencyKey::open(&text, &ring()), Err(expected));
    }
    empty: (String::new(), IdempotencyKeyError::Malformed),
    not_hexadecimal: ("z".repeat(102), IdempotencyKeyError::Malformed),
    too_long: ("0".repeat(104), IdempotencyKeyError::Malformed),
    no_such_phase: ("f".repeat(102), IdempotencyKeyError::Malformed),
    retired_phase: (
        key_of(1).seal(&fleet_key(3), [7; 12]).into(),
        IdempotencyKeyError::Retired { phase: 3 },
    ),
    phase_reused: (
        key_of(1).seal(&FleetKey::new(1, [9; 32]), [7; 12]).into(),
        IdempotencyKeyError::Unverified { phase: 1 },
    ),
}
