//! Fixtures for tests of the scheduling of requests.

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::ReleaseCause,
    request::ForwardHeader,
    FlowKey,
    FlowPacket,
    FlowTracker,
    PacketKind, //
    TrackerAction,
};

use super::{
    backend,
    header,
    key,
    packet,
    scheduling_tracker,
    SLOW_ROUTE, //
};

pub(crate) const SLOTS: u32 = 4;
/// Time at which the load of the opened flows no longer counts.
pub(crate) const START: Millis = Millis(1_000);
pub(crate) const HALF_OBJECTIVE: Millis = Millis(1_150);
pub(crate) const OBJECTIVE: Millis = Millis(1_300);
/// Time at which a request that arrived at the start is sent in any case.
pub(crate) const HOLD_END: Millis = Millis(2_200);
pub(crate) const LEN: u16 = 100;

/// A packet of a flow on the route of the less urgent class.
pub(crate) fn slow(caller: u16, kind: PacketKind, number: u32, data_len: u16) -> FlowPacket {
    FlowPacket {
        key: slow_key(caller),
        sequence: number * u32::from(LEN),
        data_len,
        ..packet(caller, kind)
    }
}

pub(crate) fn slow_key(caller: u16) -> FlowKey {
    FlowKey {
        service_address: SLOW_ROUTE,
        ..key(caller)
    }
}

pub(crate) fn data(caller: u16, number: u32) -> FlowPacket {
    slow(caller, PacketKind::Data, number, LEN)
}

pub(crate) fn content(packet: &FlowPacket) -> Bytes {
    Bytes::from(format!("{} {}", packet.key, packet.sequence))
}

pub(crate) fn send_with(
    tracker: &mut FlowTracker,
    packet: FlowPacket,
    header: ForwardHeader,
    now: Millis,
) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    tracker.handle_forwarded(&packet, &content(&packet), header, now, &mut actions);
    actions
}

pub(crate) fn send(
    tracker: &mut FlowTracker,
    packet: FlowPacket,
    now: Millis,
) -> Vec<TrackerAction> {
    send_with(tracker, packet, header(&[]), now)
}

pub(crate) fn due(tracker: &mut FlowTracker, now: Millis) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    tracker.send_held(now, &mut actions);
    actions
}

/// Returns the contents of the held packets that are sent to the server.
pub(crate) fn sent(actions: &[TrackerAction]) -> Vec<Bytes> {
    let held = actions.iter().filter_map(|action| match action {
        TrackerAction::DeliverHeld { packet, .. } => Some(packet.clone()),
        _ => None,
    });
    held.collect()
}

pub(crate) fn causes(actions: &[TrackerAction]) -> Vec<ReleaseCause> {
    let released = actions.iter().filter_map(|action| match action {
        TrackerAction::DeliverHeld { release, .. } => release.map(|release| release.cause),
        _ => None,
    });
    released.collect()
}

pub(crate) fn contents(packets: impl IntoIterator<Item = FlowPacket>) -> Vec<Bytes> {
    packets.into_iter().map(|packet| content(&packet)).collect()
}

/// Opens flows of the less urgent class whose server has answered, and which have no request.
pub(crate) fn open_slow(tracker: &mut FlowTracker, callers: std::ops::Range<u16>) {
    for caller in callers {
        let opening = slow(caller, PacketKind::Open { retransmission: 0 }, 0, 0);
        let actions = send(tracker, opening, Millis(0));
        assert!(actions.contains(&TrackerAction::Deliver));
        backend(tracker, &slow(caller, PacketKind::Accept, 0, 0), Millis(0));
        send(tracker, slow(caller, PacketKind::Data, 0, 0), Millis(0));
        backend(tracker, &slow(caller, PacketKind::Data, 0, LEN), Millis(0));
    }
    backend(tracker, &slow(0, PacketKind::Data, 0, 0), START);
    assert_eq!(tracker.report(START).busy, 0);
}

/// Returns a tracker with `flows` open flows, of which the first ones have taken all slots.
pub(crate) fn busy_tracker(flows: u16) -> FlowTracker {
    let mut tracker = scheduling_tracker(SLOTS, true);
    open_slow(&mut tracker, 0..flows);
    for caller in 0..SLOTS as u16 {
        let actions = send(&mut tracker, data(caller, 0), START);
        assert!(actions.contains(&TrackerAction::Deliver));
    }
    tracker
}

/// Returns a tracker that holds the requests of flows 4 and 5, two packets each.
pub(crate) fn holding_tracker() -> FlowTracker {
    let mut tracker = busy_tracker(6);
    for (caller, number) in [(4, 0), (5, 0), (4, 1), (5, 1)] {
        assert_eq!(send(&mut tracker, data(caller, number), START), []);
    }
    tracker
}

pub(crate) fn held_packets() -> Vec<Bytes> {
    contents([data(4, 0), data(4, 1), data(5, 0), data(5, 1)])
}
