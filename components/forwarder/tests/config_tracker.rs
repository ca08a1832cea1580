//! Configuration and evacuations from the store and from peers, in any order.

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
const FLOW_LIFETIME: Millis = Millis(60_000);
const NOW: Millis = Millis(0);

fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: value.into(),
        revision,
        lease: 0,
    }
}

fn config_item(version: u64, revision: u64) -> StoreItem {
    let value = format!(
        r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"IdleTimeoutMs":1000}}}}"#
    );
    item("op/config", &value, revision)
}

fn listing(items: Vec<StoreItem>, revision: u64) -> KeyEvent {
    KeyEvent::All(StoreListing { items, revision }, NOW)
}

/// Returns a tracker that has adopted the configuration of a peer in which the data centre is
/// evacuated.
fn evacuated_tracker(revision: u64) -> ConfigTracker {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    tracker.apply_event(listing(vec![config_item(1, 1)], 1), 0, NOW);
    let mut config = SiteConfig::new(1, Millis(1_000), [], []);
    config.revision = revision;
    config.set_evacuated_centres([CENTRE.into()]);
    assert!(tracker
        .adopt_config(config, NOW)
        .unwrap()
        .is_evacuated(CENTRE));
    tracker
}

/// Guards against a list that was read before an evacuation, arrives after the configuration of a
/// peer, and undoes the evacuation.
#[test]
fn ignores_a_list_older_than_a_peers_configuration() {
    let mut tracker = evacuated_tracker(7);
    let config = tracker.apply_event(listing(vec![config_item(1, 1)], 5), 7, NOW);
    assert!(config.unwrap().is_evacuated(CENTRE));
    let config = tracker.apply_event(listing(vec![config_item(1, 1)], 8), 7, NOW);
    assert!(!config.unwrap().is_evacuated(CENTRE));
}

/// Guards against the end of an earlier evacuation that ends a later one, and against an evacuation
/// that doesn't end because it was adopted from a peer.
#[test]
fn ends_an_evacuation_only_by_a_later_change() {
    let mut tracker = evacuated_tracker(7);
    let deletion =
        |revision| KeyEvent::Changes(vec![StoreChange::Deleted(evacuation_key(CENTRE), revision)]);
    assert!(tracker
        .apply_event(deletion(3), 7, NOW)
        .unwrap()
        .is_evacuated(CENTRE));
    assert!(!tracker
        .apply_event(deletion(9), 7, NOW)
        .unwrap()
        .is_evacuated(CENTRE));
    assert_eq!(tracker.revision(), 9);
}

/// Guards against a process that reports a revision which its list is too old to include, and so
/// doesn't read the keys again.
#[test]
fn claims_no_revision_newer_than_its_list() {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    tracker.apply_event(listing(vec![config_item(1, 1)], 8), 9, NOW);
    assert_eq!(tracker.revision(), 8);
    tracker.apply_event(listing(vec![config_item(1, 1)], 12), 9, NOW);
    assert_eq!(tracker.revision(), 9);
}
