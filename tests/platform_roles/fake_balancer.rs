//! A balancer in a test, which talks to agents.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use carobdrum_wire::{
    flow_datagram::{
        address_to_number,
        FlowBody,
        FlowDatagram,
        ReportProbe, //
    },
    snapshot::SiteSnapshot,
};
use futures_util::SinkExt;
use prost::Message;
use tokio::time::{
    sleep,
    timeout, //
};
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

use crate::role_process::{
    POLL_INTERVAL,
    STATE_TIMEOUT, //
};

/// A balancer in the test, which shows its revision to an agent and serves a snapshot.
pub(crate) struct FakeBalancer {
    pub(crate) socket: tokio::net::UdpSocket,
    pub(crate) snapshots: tokio::net::TcpListener,
}

impl FakeBalancer {
    pub(crate) async fn start(ip: Ipv4Addr, peer_port: u16) -> FakeBalancer {
        FakeBalancer {
            socket: tokio::net::UdpSocket::bind((ip, peer_port)).await.unwrap(),
            snapshots: tokio::net::TcpListener::bind((ip, peer_port))
                .await
                .unwrap(),
        }
    }

    /// Returns a probe that shows this revision.
    pub(crate) fn probe(&self, revision: u64) -> Vec<u8> {
        let own = match self.socket.local_addr().unwrap() {
            std::net::SocketAddr::V4(own) => own,
            std::net::SocketAddr::V6(own) => panic!("{own} is no IPv4 address"),
        };
        FlowDatagram::encode_body(FlowBody::Probe(ReportProbe {
            balancer: address_to_number(own),
            revision,
            era: None,
        }))
    }

    /// Shows a revision to the agent until it reports `least` or a newer one.
    pub(crate) async fn show_until(&self, agent: SocketAddrV4, revision: u64, least: u64) {
        let probe = self.probe(revision);
        let wait = async {
            let mut buffer = [0; 2_048];
            loop {
                self.socket.send_to(&probe, agent).await.unwrap();
                let received = timeout(POLL_INTERVAL, self.socket.recv(&mut buffer)).await;
                let Ok(Ok(length)) = received else {
                    continue;
                };
                let report = FlowDatagram::decode(&buffer[..length]).unwrap();
                if matches!(report.body, Some(FlowBody::Report(report)) if report.revision >= least)
                {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(STATE_TIMEOUT, wait)
            .await
            .expect("the agent must report the revision in time");
    }

    /// Returns whether the agent's next report says that it accepts new flows.
    pub(crate) async fn asks_whether_accepting(&self, agent: SocketAddrV4) -> bool {
        let mut buffer = [0; 2_048];
        // Reports that were sent before are read first.
        while self.socket.try_recv(&mut buffer).is_ok() {}
        let probe = self.probe(0);
        self.socket.send_to(&probe, agent).await.unwrap();
        let received = timeout(STATE_TIMEOUT, self.socket.recv(&mut buffer)).await;
        let length = received.expect("no report in time").unwrap();
        match FlowDatagram::decode(&buffer[..length]).unwrap().body {
            Some(FlowBody::Report(report)) => report.accepts,
            body => panic!("no report: {body:?}"),
        }
    }

    /// Sends a snapshot of this revision to the next process that connects.
    pub(crate) async fn serve_snapshot(&self, revision: u64) {
        let snapshot = SiteSnapshot {
            version: revision,
            revision,
            ..SiteSnapshot::default()
        };
        self.serve(snapshot).await;
    }

    /// Sends a snapshot to the next process that connects.
    pub(crate) async fn serve(&self, snapshot: SiteSnapshot) {
        let (stream, _) = self.snapshots.accept().await.unwrap();
        let mut stream = Framed::new(stream, LengthDelimitedCodec::new());
        let bytes = Bytes::from(snapshot.encode_to_vec());
        stream.send(bytes).await.unwrap();
    }
}
