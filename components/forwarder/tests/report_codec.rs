//! Reports of agents between builds of different age.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_flows::process::{
    AgentReport,
    HeldCounts, //
};
use carobdrum_forwarder::{
    decode_report,
    encode_report, //
};
use carobdrum_wire::flow_datagram::{
    HeldRequests,
    ServerReport, //
};
use prost::Message;

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8_000);

/// The fields of a report that builds without the held requests by class know, as far as they concern these.
#[derive(Clone, PartialEq, Message)]
struct OlderReport {
    #[prost(uint32, tag = "3")]
    busy: u32,
    #[prost(uint32, tag = "10")]
    queued: u32,
    #[prost(uint32, tag = "12")]
    open_flows: u32,
}

fn report() -> AgentReport {
    let mut held = HeldCounts::new();
    held.push(1, 3);
    held.push(2, 300);
    AgentReport {
        accepts: true,
        failure_percent: 4,
        busy: 5,
        queued: 303,
        held,
        slots: 6,
        revision: 7,
        is_confirmed: true,
        work_us: 8_000,
        open_flows: 9,
    }
}

/// Guards against a field that is lost or exchanged on the way to the balancer.
#[test]
fn a_report_arrives_unchanged() {
    let bytes = encode_report(AGENT, &report(), "north", "lookup").encode_to_vec();
    let message = ServerReport::decode(bytes.as_slice()).expect("the report is valid");
    assert_eq!(decode_report(&message), report());
}

/// Guards against a report that an older balancer can't read, and one of an older agent that shows classes.
#[test]
fn reports_pass_between_older_and_newer_builds() {
    let bytes = encode_report(AGENT, &report(), "north", "lookup").encode_to_vec();
    let older = OlderReport::decode(bytes.as_slice()).expect("unknown fields are skipped");
    assert_eq!((older.busy, older.queued, older.open_flows), (5, 303, 9));
    let bytes = older.encode_to_vec();
    let message = ServerReport::decode(bytes.as_slice()).expect("absent fields have a default");
    let decoded = decode_report(&message);
    assert_eq!((decoded.queued, decoded.held), (303, HeldCounts::new()));
}

/// Guards against damaged reports that grow the balancer's state or count requests as more urgent than they
/// are.
#[test]
fn excess_classes_count_as_the_least_urgent_one() {
    let classes = [1, 2, 3, 4, 300, 5, 0];
    let held = classes.map(|class| HeldRequests { class, count: 1 });
    let message = ServerReport {
        held: held.to_vec(),
        ..ServerReport::default()
    };
    let counts = decode_report(&message).held;
    assert!(counts.iter().eq([(1, 1), (2, 1), (3, 1), (255, 4)]));
    assert_eq!((counts.count_before(3), counts.count_before(255)), (3, 7));
}
