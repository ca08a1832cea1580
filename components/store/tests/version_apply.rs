//! Application of edits to a stand-in store.

use std::time::Duration;

use carobdrum_core::version::{
    CentreEntry,
    CentreState,
    ConfigVersion,
    PoolEntry,
    PoolState,
    PoolTable,
    PriorityClass,
    RouteEntry,
    RouteTable, //
};
use carobdrum_standins::{
    PortMode,
    StoreServer, //
};
use carobdrum_store::{
    ApplyOutcome,
    ConflictReport,
    RetryPlan,
    StoreClient,
    StoreError,
    TableEdit,
    UndoEdit, //
};
use rstest::rstest;

const DEPLOYMENT: &str = "test";

async fn start() -> (StoreServer, StoreClient) {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = StoreServer::start(address).await.unwrap();
    let retry =
        RetryPlan::new(Duration::from_millis(5), Duration::from_millis(50)).with_max_retries(6);
    let client = StoreClient::new(server.address(), DEPLOYMENT).with_retry(retry);
    (server, client)
}

fn routes(timeout_ms: u32) -> RouteTable {
    RouteTable {
        routes: vec![RouteEntry {
            name: "lookups".into(),
            service: "placename-api".into(),
            address: "127.0.1.1:4433".parse().unwrap(),
            path_prefix: "/".into(),
            methods: Vec::new(),
            priority: PriorityClass::Normal,
            timeout_ms,
        }],
    }
}

fn pools(galway: CentreState) -> PoolTable {
    let centre = |name: &str, state| CentreEntry {
        name: name.into(),
        state,
    };
    PoolTable {
        pools: vec![PoolEntry {
            service: "placename-api".into(),
            servers: vec!["placename-*".into()],
            slots: 2,
            connections: 2_000,
            state: PoolState::Active,
        }],
        data_centres: vec![
            centre("galway-a", galway),
            centre("sligo-a", CentreState::In),
        ],
    }
}

fn edit(base: u32, timeout_ms: u32) -> TableEdit {
    TableEdit::new(base, routes(timeout_ms), pools(CentreState::In)).author("aoife")
}

fn applied(outcome: ApplyOutcome) -> ConfigVersion {
    match outcome {
        ApplyOutcome::Applied(version) => *version,
        ApplyOutcome::Refused(report) => panic!("refused: {report:?}"),
    }
}

fn refused(outcome: ApplyOutcome) -> ConflictReport {
    match outcome {
        ApplyOutcome::Applied(version) => panic!("applied as version {}", version.number),
        ApplyOutcome::Refused(report) => report,
    }
}

/// Returns number and time limit of each version in the history.
async fn timeouts(client: &StoreClient) -> Vec<(u32, u32)> {
    let history = client.history(10).await.unwrap();
    let versions = history.iter();
    let limits = versions.map(|version| (version.number, version.routes.routes[0].timeout_ms));
    limits.collect()
}

async fn apply(client: &StoreClient, edit: TableEdit) -> ConfigVersion {
    applied(client.apply_version(edit).await.unwrap())
}

/// Guards against a reader that sees another document than the one that was applied.
#[tokio::test]
async fn applied_version_is_read_back() {
    let (_server, client) = start().await;
    assert_eq!(client.read_version().await.unwrap(), None);
    let first = apply(&client, edit(0, 1_000)).await;
    let stored = client.read_version().await.unwrap().unwrap();
    assert_eq!(stored.version, first);
    assert_eq!((first.number, &*first.author), (1, "aoife"));
}

/// Guards against a lost update: when two operators have read the same version, the second must not
/// overwrite the edit of the first, and must be told what changed.
#[tokio::test]
async fn second_of_two_operators_is_told_what_changed() {
    let (_server, client) = start().await;
    apply(&client, edit(0, 1_000)).await;
    let out = TableEdit::new(1, routes(1_000), pools(CentreState::Out))
        .author("brian")
        .edited_ms(77);
    let (left, right) = tokio::join!(
        client.apply_version(edit(1, 2_000)),
        client.apply_version(out.clone()),
    );
    let (winner, report) = match (left.unwrap(), right.unwrap()) {
        (ApplyOutcome::Applied(version), other) => (version, refused(other)),
        (other, ApplyOutcome::Applied(version)) => (version, refused(other)),
        both => panic!("no winner: {both:?}"),
    };
    assert_eq!((report.base, report.in_force), (1, 2));
    assert_eq!(report.author, winner.author);
    assert_eq!(report.edited_ms, winner.edited_ms);
    let changes = report.changes.unwrap();
    assert!(changes.pools.is_empty());
    match &*winner.author {
        "brian" => assert_eq!(changes.data_centres, ["galway-a"]),
        _ => assert_eq!(changes.routes, ["lookups"]),
    }
}

/// Waits until a condition holds, for at most 5 s.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..5_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("the condition isn't met after 5 s");
}

macro_rules! lost_responses {
    ($($name:ident: $skipped:expr, $lost:expr;)*) => {
        /// Guards against an edit that takes effect twice, or is reported as failed, when the
        /// response to one of its writes is lost; the history must be complete afterwards.
        #[rstest]
        $(#[case::$name($skipped, $lost)])*
        #[tokio::test]
        async fn lost_response_makes_one_version(#[case] skipped: u32, #[case] lost: u32) {
            let (server, client) = start().await;
            server.drop_write_responses(skipped, lost);
            for number in 1..=3 {
                let version = apply(&client, edit(number - 1, 1_000 * number)).await;
                assert_eq!(version.number, number);
            }
            assert_eq!(timeouts(&client).await, [(3, 3_000), (2, 2_000), (1, 1_000)]);
        }
    };
}

lost_responses! {
    first_version: 0, 1;
    history_copy: 1, 1;
    replacement: 2, 1;
    both_writes: 1, 2;
    every_write: 0, 5;
}

/// Guards against a second version when a write takes effect after the client timed out and
/// retried.
#[tokio::test]
async fn late_write_makes_no_second_version() {
    let (server, client) = start().await;
    let client = client.with_timeout(Duration::from_millis(60));
    apply(&client, edit(0, 1_000)).await;
    let late = Duration::from_millis(300);
    server.delay_writes(1, 1, late);
    assert_eq!(apply(&client, edit(1, 2_000)).await.number, 2);
    let stored = client.read_version().await.unwrap();
    let writes = server.counts().writes;
    tokio::time::sleep(2 * late).await;
    assert_eq!(server.counts().writes, writes + 1, "the late write");
    assert_eq!(client.read_version().await.unwrap(), stored);
}

/// Guards against an edit that is reported as refused although it took effect, when its response
/// was lost and another version replaced it before the retry.
#[tokio::test]
async fn lost_response_is_found_in_the_history() {
    let (server, client) = start().await;
    apply(&client, edit(0, 1_000)).await;
    let slow = RetryPlan::new(Duration::from_millis(400), Duration::from_millis(400));
    let slow = client.clone().with_retry(slow.with_max_retries(2));
    server.drop_write_responses(1, 1);
    let (first, second) = tokio::join!(slow.apply_version(edit(1, 2_000)), async {
        wait_until(|| server.counts().writes == 3).await;
        apply(&client, edit(2, 3_000)).await
    });
    assert_eq!(second.number, 3);
    assert_eq!(applied(first.unwrap()).number, 2);
}

/// Guards against an error that hides that the edit may have taken effect, and against a second
/// version when its author applies it again.
#[tokio::test]
async fn unknown_outcome_is_resolved_by_the_same_edit() {
    let (server, client) = start().await;
    let client = client.with_timeout(Duration::from_millis(60));
    let first = edit(0, 1_000);
    server.drop_write_responses(0, 1);
    let down = async {
        wait_until(|| server.counts().writes > 0).await;
        server.set_mode(PortMode::Refusing).await;
    };
    let (outcome, ()) = tokio::join!(client.apply_version(first.clone()), down);
    let error = outcome.unwrap_err();
    assert!(
        matches!(&error, StoreError::OutcomeUnknown { edit_id, .. } if edit_id == first.id()),
        "{error}"
    );
    server.set_mode(PortMode::Open).await;
    assert_eq!(apply(&client, first).await.number, 1);
    assert_eq!(timeouts(&client).await, [(1, 1_000)]);
}

/// Guards against an edit that fails because of a short outage, or whose outcome is reported as
/// unknown although nothing was sent.
#[tokio::test]
async fn edit_is_applied_after_a_short_outage() {
    let (server, client) = start().await;
    server.set_mode(PortMode::Refusing).await;
    let error = client.apply_version(edit(0, 1_000)).await.unwrap_err();
    assert!(matches!(error, StoreError::Connect { .. }), "{error}");
    assert!(error.is_retryable() && error.had_no_effect());
    let (version, ()) = tokio::join!(apply(&client, edit(0, 1_000)), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        server.set_mode(PortMode::Open).await;
    });
    assert_eq!(version.number, 1);
}

/// Guards against an undo that goes back to the old number, loses the history or gives a name a new
/// id.
#[tokio::test]
async fn undo_makes_a_new_version_with_the_ids_in_force() {
    let (_server, client) = start().await;
    apply(&client, edit(0, 1_000)).await;
    let mut wider = pools(CentreState::In);
    wider.data_centres.insert(
        0,
        CentreEntry {
            name: "ennis-a".into(),
            state: CentreState::In,
        },
    );
    let second = apply(&client, TableEdit::new(1, routes(2_000), wider)).await;
    let stale = client.undo(UndoEdit::new(1, 1)).await.unwrap();
    assert_eq!(refused(stale).in_force, 2);
    let undo = UndoEdit::new(2, 1).author("brian").comment("wrong");
    let third = applied(client.undo(undo.clone()).await.unwrap());
    assert_eq!((third.number, &*third.author), (3, "brian"));
    assert_eq!(third.routes, routes(1_000));
    assert_eq!(third.pools, pools(CentreState::In));
    assert_eq!(third.centres, second.centres);
    assert_eq!(applied(client.undo(undo).await.unwrap()), third);
    let missing = client.undo(UndoEdit::new(3, 9)).await.unwrap_err();
    assert!(matches!(missing, StoreError::NoSuchVersion { number: 9 }));
}

/// Guards against an oversized document that is rejected only after the history was written.
#[tokio::test]
async fn too_large_version_is_rejected_before_sending() {
    let (server, client) = start().await;
    apply(&client, edit(0, 1_000)).await;
    let writes = server.counts().writes;
    let comment = "x".repeat(1_000_001);
    let error = client.apply_version(edit(1, 2_000).comment(comment)).await;
    let error = error.unwrap_err();
    assert!(
        matches!(
            error,
            StoreError::ValueTooLarge {
                limit: 1_000_000,
                ..
            }
        ),
        "{error}"
    );
    assert!(!error.is_retryable());
    assert_eq!(server.counts().writes, writes);
}

/// Guards against an unknown outcome that is reported although the store rejected the write.
#[tokio::test]
async fn rejection_by_the_store_is_final() {
    let (server, client) = start().await;
    server.set_max_value(100);
    let error = client.apply_version(edit(0, 1_000)).await.unwrap_err();
    assert!(matches!(error, StoreError::Rejected { .. }), "{error}");
    assert!(error.had_no_effect() && !error.is_retryable());
}

/// Guards against invalid tables that come into force.
#[tokio::test]
async fn invalid_tables_are_rejected_before_sending() {
    let (server, client) = start().await;
    let error = client.apply_version(edit(0, 1)).await.unwrap_err();
    assert!(matches!(error, StoreError::InvalidTables { .. }), "{error}");
    assert_eq!(server.counts().writes, 0);
}

/// Guards against an overflow when the version in force has the highest possible number.
#[tokio::test]
async fn last_number_has_no_successor() {
    let (server, client) = start().await;
    let last = ConfigVersion {
        number: u32::MAX,
        ..ConfigVersion::default()
    };
    let document = serde_json::to_vec(&last).unwrap();
    server.set_value("carobdrum/test/tables/current", document);
    for base in [1, u32::MAX - 1] {
        let outcome = client.apply_version(edit(base, 1_000)).await.unwrap();
        assert_eq!(refused(outcome).in_force, u32::MAX);
    }
    let error = client
        .apply_version(edit(u32::MAX, 1_000))
        .await
        .unwrap_err();
    assert!(matches!(error, StoreError::InvalidTables { .. }), "{error}");
    assert_eq!(client.history(3).await.unwrap(), [last]);
}

/// Guards against a version in the history that is overwritten by another of the same number.
#[tokio::test]
async fn history_mismatch_stops_an_edit() {
    let (server, client) = start().await;
    apply(&client, edit(0, 1_000)).await;
    let key = "carobdrum/test/tables/history/1";
    server.set_value(key, "{}");
    let error = client.apply_version(edit(1, 2_000)).await.unwrap_err();
    assert!(
        matches!(error, StoreError::HistoryMismatch { number: 1 }),
        "{error}"
    );
    assert_eq!(server.value(key).unwrap(), "{}");
    assert_eq!(
        client.read_version().await.unwrap().unwrap().version.number,
        1
    );
}
