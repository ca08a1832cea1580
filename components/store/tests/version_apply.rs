//! Apply path against the stand-in of the store.

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
use carobdrum_standins::StoreServer;
use carobdrum_store::{
    ApplyOutcome,
    ConflictReport,
    RetryPlan,
    StoreClient,
    TableEdit, //
};
use rstest::rstest;

const DEPLOYMENT: &str = "test";

async fn start() -> (StoreServer, StoreClient) {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = StoreServer::start(address).await.unwrap();
    let retry = RetryPlan::new(Duration::from_millis(5), Duration::from_millis(50)).limited_to(6);
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

/// Guards against a lost update: of two operators who read the same version, the second must not
/// overwrite the first, and must learn what changed.
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

macro_rules! lost_responses {
    ($($name:ident: $skipped:expr, $lost:expr;)*) => {
        /// Guards against an edit that takes effect twice, or is reported as failed, when the
        /// response to one of its writes is lost; the history must be complete afterwards.
        #[rstest]
        $(#[case::$name($skipped, $lost)])*
        #[tokio::test]
        async fn lost_response_makes_one_version(#[case] skipped: u32, #[case] lost: u32) {
            let (server, client) = start().await;
            server.lose_write_answers(skipped, lost);
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
