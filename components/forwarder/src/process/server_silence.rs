//! Task of an agent that finds out whether a silent server has ended.

use std::{
    io,
    net::SocketAddrV4,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    sync::{
        mpsc,
        oneshot, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tracing::{
    info,
    warn, //
};

use super::node_metrics::NodeMetrics;
use crate::connection::AgentUpdate;

/// Interval between checks whether the server is silent while flows are open.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two probes of a silent server.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between probes whether the server of an agent that is shutting down has ended.
const SERVER_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit of such a probe.
const SERVER_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Tells the traffic thread when a server that is leaving has ended, since its flows are lost from then
/// on. The platform stops an agent about when its server ends.
pub(crate) async fn report_server_end(server: SocketAddrV4, updates: mpsc::Sender<AgentUpdate>) {
    while !has_ended(server).await {
        sleep(SERVER_PROBE_INTERVAL).await;
    }
    info!(%server, "backend server has ended");
    if updates.send(AgentUpdate::ServerEnded).await.is_err() {
        warn!("end of the backend server not applied: the traffic thread has ended");
    }
}

/// Tells the traffic thread when a server that is silent while flows are open has ended, until the traffic
/// thread has ended.
pub(crate) async fn watch_silence(
    server: SocketAddrV4,
    updates: mpsc::Sender<AgentUpdate>,
    metrics: NodeMetrics,
) {
    // A server that is being restarted may refuse one connection, so it has to refuse two in one silence.
    let mut refused_in = None;
    loop {
        let (answer, silence) = oneshot::channel();
        if updates
            .send(AgentUpdate::FindSilence(answer))
            .await
            .is_err()
        {
            return;
        }
        let Ok(silence) = silence.await else {
            return;
        };
        let Some(silence) = silence else {
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        let ended = has_ended(server).await;
        let outcome = if ended { "ended" } else { "alive" };
        NodeMetrics::count(&metrics.probed_servers, outcome);
        info!(%server, ended, "silent backend server probed");
        let is_confirmed = ended && refused_in == Some(silence);
        refused_in = ended.then_some(silence);
        if is_confirmed {
            let update = AgentUpdate::EndedIn(silence);
            if updates.send(update).await.is_err() {
                return;
            }
        }
        sleep(SILENCE_PROBE_INTERVAL).await;
    }
}

/// Returns whether nothing listens at the address of a server on the same VM. A server that is slow or
/// paused, or whose queue of connections is full, refuses none: its system accepts them, or leaves them
/// unanswered.
pub(crate) async fn has_ended(server: SocketAddrV4) -> bool {
    let connected = timeout(SERVER_PROBE_TIMEOUT, TcpStream::connect(server)).await;
    let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    matches!(connected, Ok(Err(error)) if is_refused(&error))
}
