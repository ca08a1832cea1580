//! Conversion between the reports of agents and datagrams.

use std::net::SocketAddrV4;

use carobdrum_flows::{
    process::{
        AgentReport,
        HeldCounts, //
    },
    version::StoreRevision,
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    HeldRequests,
    ServerReport, //
};

use super::peer_revision::revision_and_era;

/// Returns the message of the report of an agent, whose server has this data centre and service.
pub fn encode_report(
    agent: SocketAddrV4,
    report: &AgentReport,
    centre: &str,
    service: &str,
) -> ServerReport {
    let (revision, era) = revision_and_era(report.revision);
    let held = report.held.iter().map(|(class, count)| HeldRequests {
        class: u32::from(class),
        count,
    });
    ServerReport {
        agent: address_to_number(agent),
        accepts: report.accepts,
        busy: report.busy,
        slots: report.slots,
        revision,
        era,
        centre: centre.into(),
        service: service.into(),
        failure_percent: u32::from(report.failure_percent),
        confirmed: report.is_confirmed,
        queued: report.queued,
        work_us: report.work_us,
        open_flows: report.open_flows,
        held: held.collect(),
    }
}

/// Returns the report of a message. Numbers that are too large are replaced by the maximum.
pub fn decode_report(message: &ServerReport) -> AgentReport {
    let mut held = HeldCounts::new();
    for requests in &message.held {
        let class = u8::try_from(requests.class).unwrap_or(u8::MAX);
        held.push(class, requests.count);
    }
    AgentReport {
        accepts: message.accepts,
        failure_percent: u8::try_from(message.failure_percent).unwrap_or(u8::MAX),
        busy: message.busy,
        queued: message.queued,
        held,
        slots: message.slots,
        revision: StoreRevision::stated(message.era, message.revision).order(),
        is_confirmed: message.confirmed,
        work_us: message.work_us,
        open_flows: message.open_flows,
    }
}
