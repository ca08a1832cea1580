//! Requests of the backend server to its agent.

use std::{
    net::SocketAddrV4,
    rc::Rc, //
};

use carobdrum_flows::process::{
    BackendHeartbeat,
    HeartbeatOutcome, //
};
use carobdrum_platform::{
    NodeRequest,
    RequestError, //
};
use compact_str::CompactString;
use http::StatusCode;
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tracing::{
    debug,
    info,
    warn, //
};

use super::{
    agent_settings::AgentSettings,
    entry_writer::EntryWriter,
    http_port::serve_requests,
    reload_cause::ReloadCause,
    tick_history::TickHistory,
    NodeError, //
};
use crate::connection::{
    AgentUpdate,
    BackendOutcome, //
};

/// Handler of the requests of the backend server.
#[derive(Clone)]
pub(crate) struct BackendRequests {
    /// Queue of updates for the traffic thread.
    pub(crate) updates: mpsc::Sender<AgentUpdate>,
    /// Writer of the agent's store entry.
    pub(crate) writer: EntryWriter,
    /// Recent ticks of the control thread.
    pub(crate) ticks: TickHistory,
    /// Settings of the agent.
    pub(crate) settings: Rc<AgentSettings>,
}

/// Serves the requests of the backend server at `address`.
///
/// # Errors
///
/// Returns [`NodeError`] if the address can't be bound.
pub(crate) async fn serve_backend(
    address: SocketAddrV4,
    requests: BackendRequests,
) -> Result<(), NodeError> {
    serve_requests(address, move |request| {
        let requests = requests.clone();
        async move { requests.handle(request).await }
    })
    .await
}

impl BackendRequests {
    async fn handle(self, request: Result<NodeRequest, RequestError>) -> StatusCode {
        match request {
            Ok(NodeRequest::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat).await,
            Ok(NodeRequest::Deregister(id)) => self.handle_deregistration(id).await,
            Ok(NodeRequest::Ready) => StatusCode::OK,
            Ok(NodeRequest::Unknown) => StatusCode::NOT_FOUND,
            Err(error) => {
                warn!(%error, "malformed request of a backend server");
                StatusCode::BAD_REQUEST
            }
        }
    }

    async fn handle_deregistration(self, id: CompactString) -> StatusCode {
        let (answer, outcome) = oneshot::channel();
        let update = AgentUpdate::Deregister(id.clone(), answer);
        let Some(reply) = send_update(self.updates, update, outcome).await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        info!(%id, outcome = ?reply.outcome, "backend server deregisters");
        if reply.outcome.is_applied() {
            self.writer.update(None, reply.is_leaving);
        }
        StatusCode::OK
    }

    /// Applies a heartbeat. One of a contested run is acknowledged although it isn't applied: no new
    /// flow is accepted then, which is what a server that is shutting down asks for.
    async fn handle_heartbeat(self, heartbeat: BackendHeartbeat) -> StatusCode {
        let sent = self.ticks.earliest_arrival();
        debug!(beat = ?heartbeat, ?sent, "heartbeat");
        let (id, service) = (heartbeat.id.clone(), heartbeat.service.clone());
        if !self.settings.has_service(&service) {
            // Another service may use the server's address since the settings were read.
            self.settings.reload(ReloadCause::OtherService).await;
        }
        let (started_ms, sequence) = (heartbeat.started_ms, heartbeat.sequence);
        let (answer, outcome) = oneshot::channel();
        let update = AgentUpdate::Heartbeat(heartbeat, sent, answer);
        let Some(reply) = send_update(self.updates, update, outcome).await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        let outcome = reply.outcome;
        if outcome != HeartbeatOutcome::Continued {
            let knows_all_flows = reply.knows_all_flows;
            info!(
                %id,
                %service,
                started_ms,
                sequence,
                ?outcome,
                knows_all_flows,
                "heartbeat of a run that isn't the known one"
            );
        }
        if outcome.is_misdirected() {
            return StatusCode::MISDIRECTED_REQUEST;
        }
        if outcome.is_applied() {
            self.writer.update(Some(service), reply.is_leaving);
        }
        StatusCode::OK
    }
}

/// Sends an update to the traffic thread, and returns its outcome; `None` if the thread has ended.
async fn send_update(
    updates: mpsc::Sender<AgentUpdate>,
    update: AgentUpdate,
    outcome: oneshot::Receiver<BackendOutcome>,
) -> Option<BackendOutcome> {
    updates.send(update).await.ok()?;
    outcome.await.ok()
}
