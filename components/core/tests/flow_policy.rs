//! Redirect decision, redirect cache and path health.

mod case_table;

use carobdrum_core::{
    connection::{
        decide_redirect,
        PathAction,
        PathHealth,
        ProbeBudget, //
        RedirectCache,
        RedirectDecision,
        RedirectInput,
    },
    Millis,
};

case_table! {
    /// Guards against flows that are redirected without need, accepted without room, or refused
    /// although the second candidate could accept them.
    fn first_packet_goes_where_room_is(
        own_load: u8, second_load: Option<u8>, has_room: bool, expected: RedirectDecision,
    ) {
        let input = RedirectInput { own_load, second_load, margin: 32, has_room };
        assert_eq!(decide_redirect(input), expected);
    }
    lighter: (10, Some(20), true, RedirectDecision::Accept),
    within_margin: (52, Some(20), true, RedirectDecision::Accept),
    above_margin: (53, Some(20), true, RedirectDecision::Redirect),
    both_full: (255, Some(255), true, RedirectDecision::Accept),
    margin_beyond_range: (255, Some(240), true, RedirectDecision::Accept),
    no_room: (0, Some(255), false, RedirectDecision::Redirect),
    alone: (255, None, true, RedirectDecision::Accept),
    alone_without_room: (0, None, false, RedirectDecision::Refuse),
}

/// Guards against a handshake whose datagrams go to both candidates, and against unbounded memory
/// under a flood of first packets.
#[test]
fn cache_is_bounded_and_expires() {
    let mut cache = RedirectCache::new(4);
    for id in 0..10u8 {
        cache.insert(Millis(u64::from(id)), &[id; 8], id);
    }
    assert_eq!(cache.len(), 4);
    assert_eq!(cache.get(Millis(10), &[9; 8]), Some(9));
    assert_eq!(cache.get(Millis(10), &[5; 8]), None);
    assert_eq!(cache.get(Millis(10), &[9; 9]), None);
    assert_eq!(cache.get(Millis(10_009), &[9; 8]), Some(9));
    assert_eq!(cache.get(Millis(10_010), &[9; 8]), None);
}

/// Returns the times and actions of a path on which a datagram is sent every `interval`
/// milliseconds, and one is received whenever `receives` returns true.
fn actions(interval: u64, receives: impl Fn(u64) -> bool, bytes: u32) -> Vec<(u64, PathAction)> {
    let mut health = PathHealth::default();
    let mut budget = ProbeBudget::new(Millis(0), bytes);
    let mut actions = Vec::new();
    for now in (0..1_200).step_by(10) {
        if now % interval == 0 {
            health.record_sent(Millis(now));
        }
        let action = health.check(Millis(now), &mut budget);
        if action != PathAction::Nothing {
            actions.push((now, action));
        }
        if receives(now) {
            health.record_received();
        }
    }
    actions
}

case_table! {
    /// Guards against a dead path whose port never changes, probes of paths that aren't suspect,
    /// and probes beyond the budget.
    fn path_is_probed_on_evidence(
        interval: u64, receives: fn(u64) -> bool, bytes: u32, expected: &[(u64, PathAction)],
    ) {
        assert_eq!(actions(interval, receives, bytes), expected);
    }
    silent: (10, |_| false, 1_000, &[
        (250, PathAction::Ping),
        (500, PathAction::Ping),
        (750, PathAction::ChangePort),
        (1_010, PathAction::Ping),
    ]),
    silent_and_slow: (100, |_| false, 1_000, &[
        (700, PathAction::Ping),
        (950, PathAction::Ping),
    ]),
    healthy: (10, |now| now % 200 == 0, 1_000, &[]),
    few_datagrams: (200, |_| false, 1_000, &[]),
    answered_after_ping: (10, |now| now == 400, 1_000, &[
        (250, PathAction::Ping),
        (660, PathAction::Ping),
        (910, PathAction::Ping),
        (1_160, PathAction::ChangePort),
    ]),
    without_budget: (10, |_| false, 10, &[]),
}
