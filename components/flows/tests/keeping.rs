//! What agents do with packets.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::PassCause,
    process::BackendState,
    FlowPacket,
    KeeperAction,
    PacketKind, //
};
use support::{
    agent,
    backend,
    beat,
    forward,
    head,
    keeper,
    open_flow,
    open_packet,
    packet,
    FENCE, //
};

/// Time within which the caller of an offered flow has sent its request, unless it has given up.
const RESERVATION: Millis = Millis(60);

fn data(caller: u16, kind: PacketKind) -> FlowPacket {
    FlowPacket {
        data_len: 100,
        ..packet(caller, kind)
    }
}

fn passed_to(actions: &[KeeperAction]) -> Option<std::net::SocketAddrV4> {
    actions.iter().find_map(|action| match action {
        KeeperAction::PassOn { to, .. } => Some(*to),
        _ => None,
    })
}

fn delivers(actions: &[KeeperAction]) -> bool {
    actions.contains(&KeeperAction::Deliver)
}

/// Guards against flows that wait at a busy server while another is idle.
#[test]
fn passes_new_flows_on_when_all_slots_are_in_use() {
    let mut keeper = keeper();
    for caller in 0..2 {
        assert!(delivers(&forward(
            &mut keeper,
            &open_packet(caller),
            head(&[1]),
            Millis(0)
        )));
    }
    let actions = forward(&mut keeper, &open_packet(2), head(&[1]), Millis(0));
    assert_eq!(passed_to(&actions), Some(agent(1)));
}

/// Guards against load that callers cause which have long given up: after an outage, offers that
/// nobody takes up filled all slots for seconds.
#[test]
fn counts_an_offer_as_load_for_a_short_time_only() {
    let mut keeper = keeper();
    for caller in 0..2 {
        forward(&mut keeper, &open_packet(caller), head(&[1]), Millis(0));
    }
    keeper.check_offers(RESERVATION, &mut Vec::new());
    let actions = forward(&mut keeper, &open_packet(2), head(&[1]), RESERVATION);
    assert!(delivers(&actions));
}

/// Guards against load that is forgotten while the server works.
#[test]
fn counts_a_request_as_load_until_its_answer() {
    let mut keeper = keeper();
    for caller in 0..2 {
        open_flow(&mut keeper, caller, Millis(0));
        forward(
            &mut keeper,
            &data(caller, PacketKind::Data),
            head(&[]),
            Millis(0),
        );
    }
    keeper.check_offers(RESERVATION, &mut Vec::new());
    assert_eq!(keeper.report(RESERVATION).busy, 2);
    backend(&mut keeper, &data(0, PacketKind::Data), Millis(70));
    assert_eq!(keeper.report(Millis(70)).busy, 1);
}

/// Guards against load of requests whose callers have given up: after an outage such requests filled
/// all slots for seconds, while the servers were idle.
#[test]
fn counts_no_load_for_a_flow_that_both_ends_finished() {
    let mut keeper = keeper();
    open_flow(&mut keeper, 0, Millis(0));
    forward(
        &mut keeper,
        &data(0, PacketKind::Data),
        head(&[]),
        Millis(1),
    );
    assert_eq!(keeper.report(Millis(1)).busy, 1);
    forward(
        &mut keeper,
        &packet(0, PacketKind::Finish),
        head(&[]),
        Millis(2),
    );
    backend(&mut keeper, &packet(0, PacketKind::Finish), Millis(3));
    assert_eq!(keeper.report(Millis(3)).busy, 0);
}

/// Guards against a planned stop that waits for flows which have ended.
#[test]
fn counts_a_flow_that_both_ends_finished_as_closed() {
    let mut keeper = keeper();
    open_flow(&mut keeper, 0, Millis(0));
    assert_eq!(keeper.open_flows(), 1);
    backend(&mut keeper, &packet(0, PacketKind::Finish), Millis(1));
    assert_eq!(keeper.open_flows(), 1);
    forward(
        &mut keeper,
        &packet(0, PacketKind::Finish),
        head(&[]),
        Millis(2),
    );
    assert_eq!(keeper.open_flows(), 0);
}

/// Guards against new flows at a server that leaves.
#[test]
fn passes_new_flows_on_while_the_server_drains() {
    let mut keeper = keeper();
    open_flow(&mut keeper, 0, Millis(0));
    keeper.take_beat(beat(2, BackendState::Draining), Millis(1));
    let actions = forward(&mut keeper, &open_packet(1), head(&[1]), Millis(2));
    assert_eq!(passed_to(&actions), Some(agent(1)));
    assert!(delivers(&forward(
        &mut keeper,
        &packet(0, PacketKind::Data),
        head(&[1]),
        Millis(3)
    )));
}

/// Guards against flows of one service at the server of another that has taken over the address.
#[test]
fn passes_new_flows_on_when_the_server_shows_no_sign_of_life() {
    let mut keeper = keeper();
    let actions = forward(&mut keeper, &open_packet(1), head(&[1]), FENCE);
    assert_eq!(passed_to(&actions), Some(agent(1)));
    let returned = FlowPacket {
        returned: true,
        ..packet(7, PacketKind::Data)
    };
    backend(&mut keeper, &returned, FENCE);
    let actions = forward(&mut keeper, &open_packet(2), head(&[1]), FENCE);
    assert_eq!(passed_to(&actions), Some(agent(1)));
}

/// Guards against heartbeats that arrive late and bring back a state that is over.
#[test]
fn leaves_outdated_heartbeats_out() {
    let mut keeper = keeper();
    assert!(keeper.take_beat(beat(3, BackendState::Draining), Millis(1)));
    assert!(!keeper.take_beat(beat(2, BackendState::Ready), Millis(2)));
    assert!(!keeper.report(Millis(2)).accepts);
}

/// Guards against flows that end because an agent was restarted and has forgotten them.
#[test]
fn lets_the_server_tell_whether_it_holds_an_unknown_flow() {
    let mut keeper = keeper();
    let unknown = packet(3, PacketKind::Data);
    assert!(delivers(&forward(
        &mut keeper,
        &unknown,
        head(&[1]),
        Millis(0)
    )));
    let returned = FlowPacket {
        returned: true,
        ..unknown
    };
    let actions = backend(&mut keeper, &returned, Millis(1));
    assert_eq!(passed_to(&actions), Some(agent(1)));
}

/// Guards against flows that don't open because the server of their first candidate is dead.
#[test]
fn passes_an_opening_packet_on_when_the_server_does_not_answer() {
    let mut keeper = keeper();
    forward(&mut keeper, &open_packet(0), head(&[1]), Millis(0));
    let mut actions = Vec::new();
    keeper.check_offers(RESERVATION, &mut actions);
    assert_eq!(passed_to(&actions), Some(agent(1)));
}

/// Guards against an agent that draws all new flows because its server returns each of them: after an
/// outage, the agent of a server that is gone got most of them, each with a detour.
#[test]
fn takes_no_new_flows_for_a_while_after_the_server_returned_one() {
    let mut keeper = keeper();
    let returned = FlowPacket {
        returned: true,
        ..open_packet(0)
    };
    forward(&mut keeper, &open_packet(0), head(&[1]), Millis(0));
    let actions = backend(&mut keeper, &returned, Millis(1));
    assert_eq!(passed_to(&actions), Some(agent(1)));
    assert!(!keeper.report(Millis(1)).accepts);
    let actions = forward(&mut keeper, &open_packet(1), head(&[1]), Millis(2));
    assert_eq!(passed_to(&actions), Some(agent(1)));

    let trial = Millis(200);
    assert!(delivers(&forward(
        &mut keeper,
        &open_packet(2),
        head(&[1]),
        trial
    )));
    backend(&mut keeper, &packet(2, PacketKind::Accept), trial);
    assert!(keeper.report(trial).accepts);
}

/// Guards against a server that is left idle after a restart because its earlier run returned flows.
#[test]
fn takes_new_flows_when_the_server_was_started_anew() {
    let mut keeper = keeper();
    let returned = FlowPacket {
        returned: true,
        ..open_packet(0)
    };
    forward(&mut keeper, &open_packet(0), head(&[1]), Millis(0));
    backend(&mut keeper, &returned, Millis(1));
    let mut started = beat(1, BackendState::Ready);
    started.started_ms += 1;
    assert!(keeper.take_beat(started, Millis(2)));
    assert!(keeper.report(Millis(2)).accepts);
}

/// Guards against copies of an opening packet that go round in a loop along the ways of earlier copies
/// until they are dropped: after an outage, such flows were neither taken nor refused.
#[test]
fn ends_the_way_of_a_copy_that_goes_round_in_a_loop() {
    let mut keeper = keeper();
    for caller in 0..2 {
        forward(&mut keeper, &open_packet(caller), head(&[1]), Millis(0));
    }
    forward(&mut keeper, &open_packet(2), head(&[1]), Millis(0));
    let retransmission = packet(2, PacketKind::Open { retransmission: 1 });
    let mut looped = head(&[]);
    looped.near = 1;
    let followed = forward(&mut keeper, &retransmission, looped.clone(), Millis(1));
    assert_eq!(passed_to(&followed), Some(agent(1)));
    looped.hops = 8;
    let taken = forward(&mut keeper, &retransmission, looped, Millis(1));
    assert!(delivers(&taken));
}

/// Guards against a reset of a flow that a server may have accepted.
#[test]
fn refuses_only_what_no_server_was_offered() {
    let mut keeper = keeper();
    keeper.stop();
    let refused = forward(&mut keeper, &open_packet(0), head(&[]), Millis(0));
    assert!(matches!(
        refused[..],
        [KeeperAction::Refuse(_, PassCause::Stopping)]
    ));
    let mut delivered = head(&[]);
    delivered.delivered = true;
    let dropped = forward(&mut keeper, &open_packet(1), delivered, Millis(0));
    assert!(matches!(
        dropped[..],
        [KeeperAction::Drop(_, PassCause::Stopping)]
    ));
}

/// Guards against packets that are lost because several of them were delivered before the server
/// returned the first one.
#[test]
fn passes_on_each_packet_that_the_server_returns() {
    let mut keeper = keeper();
    let unknown = packet(3, PacketKind::Data);
    let returned = FlowPacket {
        returned: true,
        ..unknown
    };
    for _ in 0..2 {
        assert!(delivers(&forward(
            &mut keeper,
            &unknown,
            head(&[1]),
            Millis(0)
        )));
    }
    for _ in 0..2 {
        let actions = backend(&mut keeper, &returned, Millis(1));
        assert_eq!(passed_to(&actions), Some(agent(1)));
    }
    let actions = forward(&mut keeper, &unknown, head(&[2]), Millis(2));
    assert_eq!(passed_to(&actions), Some(agent(2)));
}

/// Guards against a server that fails requests while its health check is good.
#[test]
fn reports_a_server_that_fails_its_requests_until_it_recovers() {
    let mut keeper = keeper();
    for step in 0..6 {
        keeper.note_answer(true, Millis(step));
    }
    assert!(keeper.report(Millis(6)).failure_percent >= 50);
    assert!(keeper.report(Millis(8_000)).failure_percent < 10);
}

/// Guards against more flows than a cold server bears, also before the server has told that it is
/// cold: after a restart of the agent, and when the server was restarted under its old identity.
#[test]
fn limits_new_flows_of_a_server_that_may_be_cold() {
    let rate = 10.0;
    let limit = 19;
    let offered = |keeper: &mut carobdrum_flows::FlowKeeper, first: u16, now: Millis| {
        let flows = first..first + 100;
        flows
            .filter(|caller| {
                let mut assigned = head(&[]);
                assigned.assigned = true;
                let actions = forward(keeper, &open_packet(*caller), assigned, now);
                let passed = delivers(&actions);
                keeper.check_offers(now.plus(RESERVATION), &mut Vec::new());
                passed
            })
            .count()
    };
    let mut restarted = support::new_keeper(rate);
    assert_eq!(offered(&mut restarted, 0, Millis(0)), limit);

    let mut keeper = support::new_keeper(rate);
    keeper.take_beat(beat(1, BackendState::Ready), Millis(0));
    open_flow(&mut keeper, 1_000, Millis(0));
    let returned = FlowPacket {
        returned: true,
        ..packet(1_000, PacketKind::Data)
    };
    backend(&mut keeper, &returned, Millis(1));
    assert!(offered(&mut keeper, 0, Millis(2)) <= limit);
    assert_eq!(offered(&mut keeper, 200, Millis(200)), 0);
}
