//! Configuration and evacuations from the store and from other processes, in any order.

use carobdrum_core::Millis;
use carobdrum_flows::version::SiteConfig;
use carobdrum_forwarder::{
    KeyNews,
    RulesFeed, //
};
use carobdrum_platform::{
    evacuation_key,
    StoreChange,
    StoreItem,
    StoreListing, //
};

const CENTRE: &str = "north";

fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: value.into(),
        revision,
    }
}

fn config(version: u64, revision: u64) -> StoreItem {
    let value = format!(
        r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"IdleTimeoutMs":1000}}}}"#
    );
    item("op/config", &value, revision)
}

fn listing(items: Vec<StoreItem>, revision: u64) -> KeyNews {
    KeyNews::All(StoreListing { items, revision })
}

/// Returns a feed that has taken a state of another process in which the data centre is out.
fn closed_feed(revision: u64) -> RulesFeed {
    let mut feed = RulesFeed::default();
    feed.take(listing(vec![config(1, 1)], 1), 0);
    let mut rules = SiteConfig::new(1, Millis(1_000), [], []);
    rules.revision = revision;
    rules.close_centres([CENTRE.into()]);
    assert!(feed.take_rules(rules).unwrap().is_closed(CENTRE));
    feed
}

/// Guards against a list that was read before an evacuation, arrives after another process has told
/// of it, and takes the data centre back.
#[test]
fn leaves_out_a_list_that_is_older_than_what_another_process_told() {
    let mut feed = closed_feed(7);
    let rules = feed.take(listing(vec![config(1, 1)], 5), 7);
    assert!(rules.unwrap().is_closed(CENTRE));
    let rules = feed.take(listing(vec![config(1, 1)], 8), 7);
    assert!(!rules.unwrap().is_closed(CENTRE));
}

/// Guards against the end of an earlier evacuation that ends a later one, and against an evacuation
/// that doesn't end because another process told of it.
#[test]
fn ends_an_evacuation_by_the_change_that_came_after_it() {
    let mut feed = closed_feed(7);
    let gone =
        |revision| KeyNews::Changes(vec![StoreChange::Deleted(evacuation_key(CENTRE), revision)]);
    assert!(feed.take(gone(3), 7).unwrap().is_closed(CENTRE));
    assert!(!feed.take(gone(9), 7).unwrap().is_closed(CENTRE));
    assert_eq!(feed.revision(), 9);
}

/// Guards against a process that claims to have a change which its list is too old to hold, and then
/// doesn't read again.
#[test]
fn claims_no_newer_revision_than_its_list() {
    let mut feed = RulesFeed::default();
    feed.take(listing(vec![config(1, 1)], 8), 9);
    assert_eq!(feed.revision(), 8);
    feed.take(listing(vec![config(1, 1)], 12), 9);
    assert_eq!(feed.revision(), 9);
}
