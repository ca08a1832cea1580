//! Configuration and evacuations from the store and from other processes, in any order.

use carobdrum_core::Millis;
use carobdrum_flows::version::SiteConfig;
use carobdrum_forwarder::{
    ConfigTracker, //
    KeyEvent,
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

fn config_item(version: u64, revision: u64) -> StoreItem {
    let value = format!(
        r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"IdleTimeoutMs":1000}}}}"#
    );
    item("op/config", &value, revision)
}

fn listing(items: Vec<StoreItem>, revision: u64) -> KeyEvent {
    KeyEvent::All(StoreListing { items, revision })
}

/// Returns a feed that has taken a state of another process in which the data centre is out.
fn evacuated_tracker(revision: u64) -> ConfigTracker {
    let mut tracker = ConfigTracker::default();
    tracker.take(listing(vec![config_item(1, 1)], 1), 0);
    let mut config = SiteConfig::new(1, Millis(1_000), [], []);
    config.revision = revision;
    config.set_evacuated_centres([CENTRE.into()]);
    assert!(tracker.apply_config(config).unwrap().is_evacuated(CENTRE));
    tracker
}

/// Guards against a list that was read before an evacuation, arrives after another process has told
/// of it, and takes the data centre back.
#[test]
fn leaves_out_a_list_that_is_older_than_what_another_process_told() {
    let mut tracker = evacuated_tracker(7);
    let config = tracker.take(listing(vec![config_item(1, 1)], 5), 7);
    assert!(config.unwrap().is_evacuated(CENTRE));
    let config = tracker.take(listing(vec![config_item(1, 1)], 8), 7);
    assert!(!config.unwrap().is_evacuated(CENTRE));
}

/// Guards against the end of an earlier evacuation that ends a later one, and against an evacuation
/// that doesn't end because another process told of it.
#[test]
fn ends_an_evacuation_by_the_change_that_came_after_it() {
    let mut tracker = evacuated_tracker(7);
    let gone =
        |revision| KeyEvent::Changes(vec![StoreChange::Deleted(evacuation_key(CENTRE), revision)]);
    assert!(tracker.take(gone(3), 7).unwrap().is_evacuated(CENTRE));
    assert!(!tracker.take(gone(9), 7).unwrap().is_evacuated(CENTRE));
    assert_eq!(tracker.revision(), 9);
}

/// Guards against a process that claims to have a change which its list is too old to hold, and then
/// doesn't read again.
#[test]
fn claims_no_newer_revision_than_its_list() {
    let mut tracker = ConfigTracker::default();
    tracker.take(listing(vec![config_item(1, 1)], 8), 9);
    assert_eq!(tracker.revision(), 8);
    tracker.take(listing(vec![config_item(1, 1)], 12), 9);
    assert_eq!(tracker.revision(), 9);
}
