//! Open flows after changes of their route: later packets reach the service at which the flow
//! opened.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::SiteConfig,
    FlowKey,
    FlowPacket,
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use carobdrum_forwarder::{
    ConfigTracker,
    KeyEvent, //
};
use carobdrum_platform::{
    StoreChange,
    StoreItem,
    StoreListing, //
};
use rstest::rstest;

const CENTRE: &str = "north";
const FLOW_LIFETIME: Millis = Millis(60_000);
const OPENED: Millis = Millis(99_000);
/// Time of the changes. Processes that run since zero know all versions that matter by then.
const CHANGED: Millis = Millis(100_000);
const LATER: Millis = Millis(130_000);

/// Agents of each service; more than a list of candidates holds.
const AGENTS: u8 = 20;

/// Services in the order of their agents' addresses.
const SERVICES: [&str; 3] = ["desk", "archive", "prints"];

/// Routes of a version, by what they make of the address under test.
#[derive(Clone, Copy, Debug)]
enum RouteForm {
    /// All flows go to one service.
    Only(&'static str),
    /// Flows are split, with these weights.
    Split(&'static str, u32, &'static str, u32),
    /// There is no route.
    Absent,
}

use RouteForm::{
    Absent,
    Only,
    Split, //
};

fn config_item(version: u64, form: RouteForm) -> StoreItem {
    let target = match form {
        Only(service) => format!(r#""Service":"{service}""#),
        Split(left, left_weight, right, right_weight) => format!(
            r#""TrafficSplit":[{{"Service":"{left}","Weight":{left_weight}}},{{"Service":"{right}","Weight":{right_weight}}}]"#
        ),
        Absent => String::new(),
    };
    let route = format!(r#"{{"Host":"198.18.0.1","Prefix":"/8443/",{target}}}"#);
    let routes = if matches!(form, Absent) {
        String::new()
    } else {
        route
    };
    let services = SERVICES
        .map(|name| format!(r#"{{"Name":"{name}"}}"#))
        .join(",");
    let value = format!(r#"{{"Version":{version},"Routes":[{routes}],"Services":[{services}]}}"#);
    StoreItem {
        key: "op/config".into(),
        value: value.into(),
        revision: version,
        lease: 0,
    }
}

fn read(version: u64, form: RouteForm) -> KeyEvent {
    KeyEvent::All(
        StoreListing {
            items: vec![config_item(version, form)],
            revision: version,
        },
        Millis(version),
    )
}

fn change(version: u64, form: RouteForm) -> KeyEvent {
    KeyEvent::Changes(vec![StoreChange::Put(config_item(version, form))])
}

fn agent(service: &str, number: u8) -> SocketAddrV4 {
    let index = SERVICES.iter().position(|name| *name == service);
    let index = index.expect("the service is one of SERVICES") as u8;
    SocketAddrV4::new(Ipv4Addr::new(10, 0, index, number), 8_000)
}

fn router(config: Arc<SiteConfig>) -> FlowRouter {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 9, 1), 7_000);
    let mut router = FlowRouter::new(balancer, CENTRE);
    router.config = Some(config);
    let records = SERVICES.iter().flat_map(|service| {
        (0..AGENTS).map(|number| AgentRecord {
            address: agent(service, number),
            centre: CENTRE.into(),
            service: (*service).into(),
            is_leaving: false,
        })
    });
    router.agents.replace(records, Millis(0));
    router
}

fn packet(caller: u16, kind: PacketKind) -> FlowPacket {
    FlowPacket {
        key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + caller),
            service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443),
        },
        kind,
        returned: false,
        sequence: 0,
        acknowledged: 0,
        data_len: 0,
    }
}

/// Returns the candidates of a packet, in order.
fn candidates(router: &mut FlowRouter, packet: &FlowPacket, now: Millis) -> Vec<SocketAddrV4> {
    match router.route(packet, now) {
        RouteAction::Forward { to, header } => std::iter::once(to).chain(header.rest).collect(),
        _ => Vec::new(),
    }
}

/// Returns the owners of some flows that open while the route has this form.
fn open_flows(form: RouteForm) -> Vec<(u16, SocketAddrV4)> {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let config = tracker.apply_event(read(1, form), 0, Millis(0));
    let mut router = router(config.expect("the list has a configuration"));
    let open = PacketKind::Open { retransmission: 0 };
    (0..50)
        .map(|caller| {
            let list = candidates(&mut router, &packet(caller, open), OPENED);
            (caller, list[0])
        })
        .collect()
}

/// Checks that the owner of each flow is a candidate of its later packets.
fn check_owners(owners: &[(u16, SocketAddrV4)], config: Arc<SiteConfig>, now: Millis) {
    let mut router = router(config);
    for (caller, owner) in owners {
        let list = candidates(&mut router, &packet(*caller, PacketKind::Data), now);
        assert!(list.contains(owner), "{caller}: {owner} is not in {list:?}");
    }
}

/// Returns the configuration of a process that has seen all versions, from 1.
fn follow(forms: &[RouteForm]) -> (ConfigTracker, Arc<SiteConfig>) {
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    let mut config = tracker.apply_event(read(1, forms[0]), 0, Millis(0));
    for (index, form) in forms.iter().enumerate().skip(1) {
        config = tracker.apply_event(change(index as u64 + 1, *form), 0, CHANGED);
    }
    (tracker, config.expect("there is a configuration"))
}

const SPLIT: RouteForm = Split("desk", 90, "archive", 10);

/// Guards against open flows that get no packets after their route has changed, at a process that
/// saw each version.
#[rstest]
#[case::split_ends(&[SPLIT, Only("desk")])]
#[case::split_ends_at_the_smaller(&[SPLIT, Only("archive")])]
#[case::service_replaced(&[Only("desk"), Only("archive")])]
#[case::weight_set_to_zero(&[SPLIT, Split("desk", 0, "archive", 100)])]
#[case::weights_exchanged(&[SPLIT, Split("desk", 10, "archive", 90)])]
#[case::route_dropped_and_added(&[SPLIT, Absent, Only("prints")])]
#[case::replaced_twice(&[Only("desk"), Only("archive"), Only("prints")])]
#[case::storm(&[SPLIT, Only("prints"), SPLIT, Absent, Only("archive"), Only("desk"), Only("prints")])]
fn flows_stay_reachable_after_route_changes(#[case] forms: &[RouteForm]) {
    let owners = open_flows(forms[0]);
    let (_, config) = follow(forms);
    check_owners(&owners, config, LATER);
}

/// Guards against flows of a route that changes back to its first service: flows that opened in
/// between are at the other one.
#[test]
fn flows_of_a_version_in_between_stay_reachable() {
    let owners = open_flows(Only("archive"));
    let (_, config) = follow(&[Only("desk"), Only("archive"), Only("desk")]);
    check_owners(&owners, config, LATER);
}

/// Guards against versions that are skipped because they arrive in one response.
#[test]
fn versions_in_one_response_are_all_remembered() {
    let owners = open_flows(Only("archive"));
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    tracker.apply_event(read(1, Only("desk")), 0, Millis(0));
    let changes = [(2, Only("archive")), (3, Only("desk"))];
    let changes = changes.map(|(version, form)| StoreChange::Put(config_item(version, form)));
    let config = tracker.apply_event(KeyEvent::Changes(changes.into()), 0, CHANGED);
    check_owners(&owners, config.expect("there is a configuration"), LATER);
}

/// Guards against processes that have not seen the versions before the change: those that started
/// after it, and those that missed versions because the store's history was compacted.
#[rstest]
#[case::started_after_the_change(&[])]
#[case::missed_the_version(&[Only("prints")])]
fn flows_stay_reachable_at_processes_that_missed_versions(#[case] seen: &[RouteForm]) {
    let owners = open_flows(Only("archive"));
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    for form in seen {
        tracker.apply_event(read(1, *form), 0, Millis(0));
    }
    let config = tracker.apply_event(read(7, Only("desk")), 0, CHANGED);
    check_owners(&owners, config.expect("there is a configuration"), LATER);
}

/// Guards against a process that learns the versions before its start from a peer only if that has
/// a newer configuration.
#[test]
fn history_is_adopted_from_a_peer_of_the_same_version() {
    let owners = open_flows(Only("archive"));
    let (_, of_peer) = follow(&[Only("archive"), Only("desk")]);
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    tracker.apply_event(read(2, Only("desk")), 0, CHANGED);
    let config = tracker.adopt_config((*of_peer).clone(), CHANGED);
    let config = config.expect("the peer knows more");
    assert_eq!(config.history_complete_at, of_peer.history_complete_at);
    assert_eq!(config.former_services, of_peer.former_services);
    check_owners(&owners, config, LATER);
}

/// Guards against a peer whose history ends at an older version and that is taken for complete.
#[test]
fn history_of_an_older_peer_is_not_complete() {
    let (_, of_peer) = follow(&[Only("archive")]);
    let mut tracker = ConfigTracker::new(FLOW_LIFETIME);
    tracker.apply_event(read(3, Only("desk")), 0, CHANGED);
    let complete_at = CHANGED.plus(FLOW_LIFETIME);
    let config = tracker.adopt_config((*of_peer).clone(), CHANGED);
    assert!(config.is_none_or(|config| config.history_complete_at == complete_at));
}

/// Guards against candidates of other services for every packet of a site, long after its last
/// change.
#[test]
fn former_services_are_forgotten_after_the_lifetime_of_a_flow() {
    let (_, config) = follow(&[SPLIT, Only("desk")]);
    let mut router = router(config);
    let end = CHANGED.plus(FLOW_LIFETIME);
    let is_archive = |address: &SocketAddrV4| (0..AGENTS).any(|n| agent("archive", n) == *address);
    let before = candidates(&mut router, &packet(1, PacketKind::Data), Millis(end.0 - 1));
    assert!(before.iter().any(is_archive));
    let after = candidates(&mut router, &packet(1, PacketKind::Data), end);
    assert!(!after.iter().any(is_archive));
}

/// Guards against new flows that go to a service which the route no longer names.
#[test]
fn new_flows_ignore_former_services() {
    let (_, config) = follow(&[SPLIT, Only("desk")]);
    let mut router = router(config);
    let open = PacketKind::Open { retransmission: 0 };
    for caller in 0..50 {
        let list = candidates(&mut router, &packet(caller, open), CHANGED);
        assert!(list.iter().all(|address| address.ip().octets()[2] == 0));
    }
}
