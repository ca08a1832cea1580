//! Schedule of agents' reports to balancers.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::process::ReportSchedule;
use support::BALANCER;

/// Guards against a balancer that suspects an agent because its last packet was answered by no
/// report.
#[test]
fn keeps_a_report_pending_for_a_packet_soon_after_another() {
    let mut schedule = ReportSchedule::default();
    assert!(schedule.note_packet(BALANCER, Millis(0)));
    assert!(!schedule.note_packet(BALANCER, Millis(50)));
    assert!(schedule.take_due(Millis(90)).is_empty());
    assert_eq!(schedule.take_due(Millis(100)), [BALANCER]);
    assert!(schedule.take_due(Millis(200)).is_empty());
}

/// Guards against a restarted balancer that can't discover its agents while the store is
/// unavailable, and against reports without end.
#[test]
fn reports_to_a_silent_balancer_for_a_limited_time() {
    let mut schedule = ReportSchedule::default();
    schedule.note_packet(BALANCER, Millis(0));
    assert_eq!(schedule.take_due(Millis(1_000)), [BALANCER]);
    assert!(schedule.take_due(Millis(1_900)).is_empty());
    assert_eq!(schedule.take_due(Millis(14_000)), [BALANCER]);
    assert!(schedule.take_due(Millis(15_000)).is_empty());
}
