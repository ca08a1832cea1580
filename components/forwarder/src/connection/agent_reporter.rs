//! Reports of an agent to balancers.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::ReportSchedule,
    FlowTracker, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    RegistrationEnded, //
};
use tracing::info;

use super::{
    peer_revision::revision_and_era,
    report_codec::encode_report,
    udp_endpoint::UdpEndpoint, //
};

/// Limit of the balancers to which the deletion of the registration is handed over at a time. Each makes a call to
/// the store.
const MAX_HANDOVER: usize = 4;

/// Interval between messages about the end of the registration.
const HANDOVER_INTERVAL: Millis = Millis(500);

/// Deletion of the registration that is handed over to balancers.
#[derive(Clone, Copy, Debug)]
struct Handover {
    revision: u64,
    last_sent: Millis,
}

/// Sends the reports of an agent to the balancers that have sent to it.
#[derive(Debug)]
pub(crate) struct AgentReporter {
    address: SocketAddrV4,
    schedule: ReportSchedule,
    /// Whether the server accepts new flows, as last reported.
    accepts: bool,
    /// Deletion that balancers are asked for. No report is sent meanwhile, as it would show that the agent
    /// lives.
    handover: Option<Handover>,
}

impl AgentReporter {
    /// Creates the reporter of the agent at `address`. Balancers assume that a new agent accepts
    /// flows.
    pub(crate) fn new(address: SocketAddrV4) -> AgentReporter {
        AgentReporter {
            address,
            schedule: ReportSchedule::default(),
            accepts: true,
            handover: None,
        }
    }

    /// Hands the deletion of the registration of this revision over to balancers, at once and then at
    /// intervals; ends that for `None`.
    pub(crate) fn hand_over(
        &mut self,
        revision: Option<u64>,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        let is_same = self.handover.map(|handover| handover.revision) == revision;
        if is_same {
            return;
        }
        self.handover = revision.map(|revision| Handover {
            revision,
            last_sent: now,
        });
        self.send_handover(endpoint);
    }

    fn send_handover(&self, endpoint: &mut UdpEndpoint) {
        let Some(Handover { revision, .. }) = self.handover else {
            return;
        };
        let (revision, era) = revision_and_era(revision);
        let message = FlowDatagram::encode_body(FlowBody::RegistrationEnded(RegistrationEnded {
            agent: address_to_number(self.address),
            revision,
            era,
        }));
        let balancers = self.schedule.recent_peers(MAX_HANDOVER);
        info!(
            revision,
            era,
            ?balancers,
            "deletion of the registration handed over"
        );
        for balancer in balancers {
            endpoint.send(&message, balancer);
        }
    }

    /// Records that a balancer has sent to the agent, and replies with a report if one is due. `centre` is the
    /// hash of the data centre of the flow whose packet it has forwarded.
    pub(crate) fn note_balancer(
        &mut self,
        balancer: SocketAddrV4,
        centre: Option<u32>,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        let is_due = match centre {
            Some(centre) => self.schedule.note_forwarded(balancer, centre, now),
            None => self.schedule.note_packet(balancer, now),
        };
        if is_due {
            self.send([balancer], tracker, endpoint, now);
        }
    }

    /// Sends the reports that are due.
    pub(crate) fn tick(
        &mut self,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        self.report_change(tracker, endpoint, now);
        if let Some(handover) = &mut self.handover {
            if now.since(handover.last_sent) >= HANDOVER_INTERVAL {
                handover.last_sent = now;
                self.send_handover(endpoint);
            }
        }
        let due = self.schedule.take_due(now);
        if !due.is_empty() {
            self.send(due, tracker, endpoint, now);
        }
    }

    /// Reports to all balancers if the server has started or stopped accepting new flows.
    pub(crate) fn report_change(
        &mut self,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        let accepts = tracker.report(now).accepts;
        if accepts == self.accepts {
            return;
        }
        self.accepts = accepts;
        let cause = tracker.exclusion_cause(now);
        let cause = cause.map_or("none", |cause| cause.name());
        info!(
            accepts,
            cause, "backend server's acceptance of flows changed"
        );
        let balancers = self.schedule.take_all(now);
        self.send(balancers, tracker, endpoint, now);
    }

    fn send(
        &self,
        balancers: impl IntoIterator<Item = SocketAddrV4>,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        if self.handover.is_some() {
            return;
        }
        let report = self.encode(tracker, now);
        for balancer in balancers {
            endpoint.send(&report, balancer);
        }
    }

    fn encode(&self, tracker: &mut FlowTracker, now: Millis) -> Vec<u8> {
        let report = tracker.report(now);
        let (centre, service) = (tracker.centre(), tracker.service());
        let message = encode_report(self.address, &report, centre, service);
        FlowDatagram::encode_body(FlowBody::Report(message))
    }
}
