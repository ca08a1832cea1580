//! Configuration and evacuations from the store and from peers, in any order.

use carobdrum_core::Millis;
use carobdrum_flows::version::{
    ProvisionalState,
    SiteConfig,
    StoreRevision, //
};
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
use rstest::rstest;

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

/// Returns the order number of a revision of this era.
fn order(era: u32, number: u64) -> u64 {
    StoreRevision::new(era, number).order()
}

fn evacuation_item(revision: u64) -> StoreItem {
    item(&evacuation_key(CENTRE), "{}", revision)
}

fn evacuation_end(revision: u64) -> KeyEvent {
    KeyEvent::Changes(vec![StoreChange::Deleted(evacuation_key(CENTRE), revision)])
}

/// Returns a tracker that has listed version 3 and an evacuation in era 1, whose last revision is 23.
fn tracker_of_first_era() -> ConfigTracker {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let items = vec![config_item(3, order(1, 23)), evacuation_item(order(1, 12))];
    tracker.apply_event(listing(items, order(1, 23)), 0, NOW);
    tracker
}

/// Guards against changes after the store's return that are ignored until its revisions have passed those that it has
/// lost, and against a version that goes back to that of the copy.
#[test]
fn a_later_era_is_newer_and_the_version_never_falls() {
    let mut tracker = tracker_of_first_era();
    let copy = listing(vec![config_item(2, order(2, 5))], order(2, 18));
    let config = tracker.apply_event(copy, order(1, 23), NOW).unwrap();
    assert_eq!(config.version, 3);
    assert_eq!(config.revision, order(2, 5), "agents are told of the era");
    let written = StoreChange::Put(config_item(8, order(2, 19)));
    let config = tracker.apply_event(KeyEvent::Changes(vec![written]), 0, NOW);
    let config = config.unwrap();
    assert_eq!((config.version, config.revision), (8, order(2, 19)));
    let evacuated_before = tracker.refresh(NOW).unwrap().evacuated_centres().to_vec();
    for (version, in_force) in [(7, 8), (9, 9)] {
        let mut former = SiteConfig::new(version, Millis(1_000), [], []);
        former.revision = order(1, 400);
        tracker.adopt_config(former, NOW);
        let config = tracker.refresh(NOW).unwrap();
        assert_eq!(
            config.version, in_force,
            "the operator's versions only grow"
        );
        assert_eq!(config.revision, order(2, 19));
        assert_eq!(config.evacuated_centres(), evacuated_before);
    }
}

/// Guards against a process that shows a revision of the former era since the store's copy has no key of the operator.
#[test]
fn an_empty_copy_begins_its_era() {
    let mut tracker = tracker_of_first_era();
    let config = tracker.apply_event(listing(Vec::new(), order(2, 1)), 0, NOW);
    assert_eq!(config.unwrap().revision, order(2, 0));
}

/// Guards against an evacuation that ends since the copy lacks it, and against one that never ends.
#[rstest]
#[case::not_written_again(None, 9_999, 10_000)]
#[case::written_and_removed_again(Some(500), 499, 500)]
fn an_evacuation_that_the_copy_lacks_holds(
    #[case] removed: Option<u64>,
    #[case] holds_at: u64,
    #[case] ended_at: u64,
) {
    let mut tracker = tracker_of_first_era();
    let copy = || listing(vec![config_item(2, order(2, 5))], order(2, 11));
    tracker.apply_event(copy(), 0, NOW);
    let config = tracker.apply_event(copy(), 0, Millis(holds_at)).unwrap();
    assert!(config.is_evacuated(CENTRE), "also after a later list");
    assert_eq!(tracker.next_expiry(), Some(Millis(10_000)));
    if removed.is_some() {
        let written = StoreChange::Put(evacuation_item(order(2, 12)));
        let config = tracker.apply_event(KeyEvent::Changes(vec![written]), 0, Millis(holds_at));
        assert!(config.unwrap().is_evacuated(CENTRE));
        tracker.apply_event(evacuation_end(order(2, 13)), 0, Millis(ended_at));
    }
    let config = tracker.refresh(Millis(ended_at)).unwrap();
    assert!(!config.is_evacuated(CENTRE));
    assert_eq!(tracker.next_expiry(), None);
}

/// Guards against an evacuation that begins again since the copy holds it, and against one of the new era that is taken
/// for that.
#[rstest]
#[case::of_the_copy(order(2, 12), false)]
#[case::written_in_the_new_era(order(2, 13), true)]
fn an_ended_evacuation_begins_by_a_new_entry_only(#[case] revision: u64, #[case] evacuated: bool) {
    let mut tracker = tracker_of_first_era();
    tracker.apply_event(evacuation_end(order(1, 24)), 0, NOW);
    let copy = || listing(vec![evacuation_item(revision)], order(2, 20));
    for time in [0, 2_999] {
        let config = tracker.apply_event(copy(), 0, Millis(time)).unwrap();
        assert_eq!(config.is_evacuated(CENTRE), evacuated);
    }
    let config = tracker.refresh(Millis(3_000)).unwrap();
    assert!(config.is_evacuated(CENTRE), "the operator hasn't ended it");
}

/// Guards against an evacuation that waits although the operator has written it in the new era.
#[test]
fn an_edit_of_the_new_era_decides_at_once() {
    let mut tracker = tracker_of_first_era();
    tracker.apply_event(evacuation_end(order(1, 24)), 0, NOW);
    let copy = listing(vec![evacuation_item(order(2, 12))], order(2, 20));
    tracker.apply_event(copy, 0, NOW);
    let written = StoreChange::Put(evacuation_item(order(2, 21)));
    let config = tracker.apply_event(KeyEvent::Changes(vec![written]), 0, NOW);
    assert!(config.unwrap().is_evacuated(CENTRE));
}

/// Guards against a second return in a row that ends what the first one was to hold.
#[test]
fn an_evacuation_holds_through_two_returns() {
    let mut tracker = tracker_of_first_era();
    let copy = |era| listing(vec![config_item(2, order(era, 5))], order(era, 11));
    tracker.apply_event(copy(2), 0, NOW);
    tracker.apply_event(copy(3), 0, Millis(9_000));
    let config = tracker.refresh(Millis(18_999)).unwrap();
    assert!(config.is_evacuated(CENTRE));
    assert!(!tracker
        .refresh(Millis(19_000))
        .unwrap()
        .is_evacuated(CENTRE));
}

/// Guards against an agent that adopts the state of a balancer which has started after the return, and so knows only the
/// store's copy, or that never learns of the end of what a balancer holds.
#[rstest]
#[case::balancer_knows_only_the_copy(false)]
#[case::balancer_holds_the_evacuation(true)]
fn a_peers_state_of_a_later_era_ends_no_evacuation(#[case] is_held: bool) {
    let mut tracker = tracker_of_first_era();
    let mut config = SiteConfig::new(2, Millis(1_000), [], []);
    config.revision = order(2, 5);
    let until = Millis(4_000);
    if is_held {
        config.set_evacuated_centres([CENTRE.into()]);
        config.provisional.push(ProvisionalState {
            centre: CENTRE.into(),
            is_evacuated: true,
            until,
        });
    }
    let adopted = tracker.adopt_config(config, NOW).unwrap();
    assert_eq!(adopted.version, 3);
    assert!(adopted.is_evacuated(CENTRE));
    let end = if is_held { until } else { Millis(10_000) };
    assert_eq!(tracker.next_expiry(), Some(end));
    assert!(!tracker.refresh(end).unwrap().is_evacuated(CENTRE));
}

/// Guards against agents that aren't told of the end of an evacuation, as their balancers have learned it by a list and
/// show no newer revision. A list that changes nothing isn't shown, since every process would read it again.
#[test]
fn a_list_that_changes_the_state_is_shown_to_peers() {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let evacuated = vec![config_item(1, 1), evacuation_item(5)];
    tracker.apply_event(listing(evacuated, 7), 0, NOW);
    assert_eq!(tracker.revision(), 5);
    for revision in [9, 12] {
        let config = tracker.apply_event(listing(vec![config_item(1, 1)], revision), 0, NOW);
        assert!(!config.unwrap().is_evacuated(CENTRE));
        assert_eq!(tracker.revision(), 9);
    }
}
