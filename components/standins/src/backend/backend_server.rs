//! A backend server and its fault controls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::watch, //
};

use super::{
    backend_routes::answer,
    backend_shared::BackendShared,
    BackendSettings,
    BackendStats,
    RunCount,
    ServiceTime, //
};
use crate::{
    port_switch::{
        bind_port,
        spawn_connection,
        PortSwitch, //
    },
    PortMode,
    StandinError, //
};

/// Stand-in for a backend server that speaks HTTP/1.1.
///
/// Clones control the same server, which stops when the last of them is dropped.
#[derive(Clone)]
pub struct BackendServer {
    address: SocketAddr,
    shared: Arc<BackendShared>,
    port: Arc<PortSwitch>,
}

impl BackendServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn start(settings: BackendSettings) -> Result<BackendServer, StandinError> {
        let (listener, address) = bind_port(settings.address).await?;
        let shared = Arc::new(BackendShared::new(settings));
        let served = Arc::downgrade(&shared);
        let port = PortSwitch::start(listener, address, move |stream, mode| {
            if let Some(shared) = served.upgrade() {
                serve_connection(stream, shared, mode);
            }
        });
        let port = Arc::new(port);
        shared.set_port(Arc::downgrade(&port));
        Ok(BackendServer {
            address,
            shared,
            port,
        })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the port does with connections, and waits until it does. A server that fell over
    /// refuses connections in any case.
    pub async fn set_mode(&self, mode: PortMode) {
        self.shared.set_mode(mode);
        self.port.settled().await;
    }

    /// Makes the server cold at once: it bears one request, and more as time goes on.
    pub fn reset_warm_up(&self) {
        self.shared.reset_warm_up();
    }

    /// Restarts the server: connections are closed at once, and the new instance is cold.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Sets how long the server works on each request that arrives from now on.
    pub fn set_service_time(&self, time: ServiceTime) {
        self.shared.lock().service_time = time;
    }

    /// Starts or ends a drain: the health endpoint reports it, and answers close their connection.
    pub fn set_draining(&self, draining: bool) {
        self.shared.lock().faults.draining = draining;
    }

    /// Answers 503 with a probability, before a request is run.
    pub fn set_shed_probability(&self, probability: f64) {
        self.shared.lock().faults.shedding = probability.clamp(0.0, 1.0);
    }

    /// Freezes or thaws the server: a frozen one accepts connections and answers nothing.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Closes the connection in the middle of each of the next `count` answers.
    pub fn truncate_responses(&self, count: u32) {
        self.shared.lock().faults.truncate_responses = count;
    }

    /// Lets the health endpoint repeat a report until it is as old as `lag`.
    pub fn set_health_cache_age(&self, lag: Duration) {
        self.shared.lock().faults.health_cache_age = lag;
    }

    /// Lets the health endpoint report `body` instead of the truth.
    pub fn override_health(&self, body: Option<Bytes>) {
        self.shared.lock().faults.health_override = body;
    }

    /// Returns how often the request of this identity was run.
    pub fn runs_of(&self, identity: &str) -> u32 {
        self.shared.lock().ledger.runs_of(identity)
    }

    /// Returns the counts of all runs, sorted by identity.
    pub fn runs(&self) -> Vec<RunCount> {
        self.shared.lock().ledger.entries().to_vec()
    }

    /// Returns the measures.
    pub fn stats(&self) -> BackendStats {
        self.shared.stats()
    }

    /// Forgets the measures, so that a run can be measured apart from what came before it.
    pub fn reset_stats(&self) {
        self.shared.reset_stats();
    }
}

fn serve_connection(
    stream: TcpStream,
    shared: Arc<BackendShared>,
    mode: watch::Receiver<PortMode>,
) {
    let service = service_fn(move |request| answer(Arc::clone(&shared), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    spawn_connection(connection, mode);
}
