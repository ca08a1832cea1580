//! Accepts flows until the agent stops.

use std::{
    rc::Rc,
    time::Duration, //
};

use quinn::{
    Endpoint,
    Incoming, //
};
use tokio::{
    task::JoinSet,
    time::timeout, //
};
use tracing::warn;

use crate::connection::{
    FlowTask,
    H3_NO_ERROR,
    LINGER_TIMEOUT, //
};

/// Number of unfinished handshakes above which callers must validate their address.
const MAX_UNFINISHED_HANDSHAKES: usize = 64;

/// Accepts flows and serves their requests.
pub(super) struct FlowServer {
    pub(super) endpoint: Endpoint,
    /// What each accepted flow gets a clone of.
    pub(super) flow: FlowTask,
}

impl FlowServer {
    /// Accepts flows until the agent is stopped, and then waits for them for at most `drain`.
    pub(super) async fn run(mut self, drain: Duration) {
        let handshakes = Rc::new(());
        let mut flows = JoinSet::new();
        loop {
            let incoming = tokio::select! {
                incoming = self.endpoint.accept() => incoming,
                _ = self.flow.stopped.wait_for(|stop| *stop) => break,
                Some(_) = flows.join_next() => continue,
            };
            let Some(incoming) = incoming else {
                break;
            };
            self.admit(incoming, &handshakes, &mut flows);
        }
        self.drain(flows, drain).await;
    }

    /// Accepts or refuses a new flow, or asks its caller to validate the address.
    fn admit(&self, incoming: Incoming, handshakes: &Rc<()>, flows: &mut JoinSet<()>) {
        let unfinished = Rc::strong_count(handshakes) - 1;
        let unvalidated =
            unfinished > MAX_UNFINISHED_HANDSHAKES && !incoming.remote_address_validated();
        if unvalidated && incoming.may_retry() {
            self.flow.metrics.retries_asked.inc();
            // The retry can't fail, because `may_retry` was checked.
            let _ = incoming.retry();
            return;
        }
        let shared = &self.flow.shared;
        if !shared.has_room() || !shared.add_connection() {
            incoming.refuse();
            return;
        }
        let flow = self.flow.clone();
        let handshake = Rc::clone(handshakes);
        flows.spawn_local(flow.serve(incoming, handshake));
    }

    /// Waits for the flows to end for at most `limit`, and refuses new ones meanwhile.
    async fn drain(self, mut flows: JoinSet<()>, limit: Duration) {
        let refuse = async {
            while let Some(incoming) = self.endpoint.accept().await {
                incoming.refuse();
            }
        };
        let ended = async { while flows.join_next().await.is_some() {} };
        let work = async {
            tokio::select! {
                () = ended => {}
                () = refuse => {}
            }
        };
        if timeout(limit, work).await.is_err() {
            warn!(
                connections = self.flow.shared.connections(),
                "drain timeout expired"
            );
        }
        self.endpoint.close(H3_NO_ERROR, b"planned stop");
        let _ = timeout(LINGER_TIMEOUT, self.endpoint.wait_idle()).await;
    }
}
