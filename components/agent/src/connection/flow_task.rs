//! Serves the requests of one flow.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use carobdrum_control::PublishedState;
use carobdrum_telemetry::TraceContext;
use quinn::{
    Incoming,
    VarInt, //
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};
use tracing::debug;

use crate::{
    process::{
        AgentMetrics,
        AgentShared, //
    },
    request::RequestHandler,
};

/// Time limit of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a connection stays open for acknowledgements unless the caller closes it: enough for
/// several retransmissions at the round-trip times of one region.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a request's header section, in bytes.
const MAX_HEAD_LEN: u64 = 16 * 1024;
/// Error code for closing a connection without an error (RFC 9114).
pub(crate) const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// One flow of a caller.
#[derive(Clone)]
pub(crate) struct FlowTask {
    pub(crate) handler: Rc<RequestHandler>,
    pub(crate) shared: Arc<AgentShared>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) published: watch::Receiver<PublishedState>,
    pub(crate) stopped: watch::Receiver<bool>,
}

impl FlowTask {
    /// Accepts the flow and serves its requests until it ends.
    pub(crate) async fn serve(self, incoming: Incoming, handshake: Rc<()>) {
        let trace = TraceContext::from_flow(&incoming.orig_dst_cid());
        self.metrics
            .connections
            .set(i64::from(self.shared.connections()));
        let mut stopped = self.stopped.clone();
        let accepted = tokio::select! {
            accepted = accept(incoming) => accepted,
            // No request has arrived yet, so the caller can safely use another agent.
            _ = stopped.wait_for(|stop| *stop) => None,
        };
        if let Some(connection) = accepted {
            drop(handshake);
            self.serve_requests(connection, trace).await;
        }
        self.shared.remove_connection();
        self.metrics
            .connections
            .set(i64::from(self.shared.connections()));
    }

    async fn serve_requests(&self, connection: quinn::Connection, trace: TraceContext) {
        let mut builder = h3::server::builder();
        builder.max_field_section_size(MAX_HEAD_LEN);
        let built = builder.build(h3_quinn::Connection::new(connection.clone()));
        let mut http: h3::server::Connection<_, bytes::Bytes> = match built.await {
            Ok(http) => http,
            Err(error) => {
                debug!(%error, "HTTP/3 setup failed");
                return;
            }
        };
        let mut requests = JoinSet::new();
        let mut stopped = self.stopped.clone();
        let mut published = self.published.clone();
        let mut draining = false;
        loop {
            let resolver = tokio::select! {
                accepted = http.accept() => match accepted {
                    Ok(Some(resolver)) => resolver,
                    // The stream of requests ends after GOAWAY, once the last request has ended.
                    Ok(None) => break,
                    Err(error) => {
                        debug!(%error, "flow ended");
                        break;
                    }
                },
                _ = stopped.wait_for(|stop| *stop), if !draining => {
                    draining = true;
                    if http.shutdown(0).await.is_err() {
                        break;
                    }
                    continue;
                }
                // The flows of an evacuated data centre are closed.
                _ = published.wait_for(|state| self.shared.is_evacuated_in(state)) => {
                    connection.close(H3_NO_ERROR, b"data centre taken out");
                    break;
                }
                Some(_) = requests.join_next() => continue,
                () = sleep(LINGER_TIMEOUT), if draining && requests.is_empty() => break,
            };
            let handler = Rc::clone(&self.handler);
            let closed = connection.clone();
            requests.spawn_local(async move {
                let serving = async {
                    match resolver.resolve_request().await {
                        Ok((request, stream)) => handler.serve(request, stream, trace).await,
                        Err(error) => debug!(%error, "malformed request"),
                    }
                };
                // Requests of a closed flow are cancelled, because their responses can't be
                // delivered.
                tokio::select! {
                    () = serving => {}
                    _ = closed.closed() => {}
                }
            });
        }
        while requests.join_next().await.is_some() {}
        // While the flow is polled, new requests are rejected as not processed. Closing the flow
        // now would drop data that the caller hasn't acknowledged. A caller that has all its
        // responses closes the flow itself after GOAWAY.
        let reject = async { while let Ok(Some(_)) = http.accept().await {} };
        let _ = timeout(LINGER_TIMEOUT, async {
            tokio::join!(reject, connection.closed())
        })
        .await;
    }
}

async fn accept(incoming: Incoming) -> Option<quinn::Connection> {
    let connecting = match incoming.accept() {
        Ok(connecting) => connecting,
        Err(error) => {
            debug!(%error, "cannot accept flow");
            return None;
        }
    };
    match timeout(HANDSHAKE_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            debug!(%error, "handshake failed");
            None
        }
        Err(_) => None,
    }
}
