//! A backend server and its fault injection.

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
    backend_routes::handle_request,
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

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the port handles connections, and waits until the mode is in effect.
    ///
    /// An overloaded server refuses connections while the mode is [`PortMode::Open`].
    pub async fn set_mode(&self, mode: PortMode) {
        self.shared.set_mode(mode);
        self.port.wait_until_applied().await;
    }

    /// Makes the server cold: its capacity drops to one request and grows during the warm-up.
    pub fn reset_warm_up(&self) {
        self.shared.reset_warm_up();
    }

    /// Restarts the server: connections are closed, and the new instance is cold.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Sets the service time of requests that arrive from now on.
    pub fn set_service_time(&self, time: ServiceTime) {
        self.shared.lock().service_time = time;
    }

    /// Starts or ends draining: the health endpoint reports it, and each response closes its
    /// connection.
    pub fn set_draining(&self, draining: bool) {
        self.shared.lock().faults.draining = draining;
    }

    /// Sets the probability from 0 to 1 with which a request is answered with 503 and not run.
    pub fn set_shed_probability(&self, probability: f64) {
        self.shared.lock().faults.shed_probability = probability.clamp(0.0, 1.0);
    }

    /// Freezes or unfreezes the server: frozen, it accepts connections but sends no responses.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Truncates the bodies of the next `count` responses and closes their connections.
    pub fn truncate_responses(&self, count: u32) {
        self.shared.lock().faults.truncate_responses = count;
    }

    /// Lets the health endpoint repeat a report until it is as old as `max_age`.
    pub fn set_health_cache_age(&self, max_age: Duration) {
        self.shared.lock().faults.health_cache_age = max_age;
    }

    /// Lets the health endpoint return `body` instead of the real state; `None` ends that.
    pub fn override_health(&self, body: Option<Bytes>) {
        self.shared.lock().faults.health_override = body;
    }

    /// Returns how often the non-idempotent request with this identity was run.
    pub fn runs_of(&self, identity: &str) -> u32 {
        self.shared.lock().run_counter.runs_of(identity)
    }

    /// Returns the run counts of all non-idempotent requests, sorted by identity.
    pub fn runs(&self) -> Vec<RunCount> {
        self.shared.lock().run_counter.entries().to_vec()
    }

    /// Returns the statistics since the start or the last reset.
    pub fn stats(&self) -> BackendStats {
        self.shared.stats()
    }

    /// Resets the statistics, so that a measurement excludes earlier requests; run counts stay.
    pub fn reset_stats(&self) {
        self.shared.reset_stats();
    }
}

fn serve_connection(
    stream: TcpStream,
    shared: Arc<BackendShared>,
    mode: watch::Receiver<PortMode>,
) {
    let service = service_fn(move |request| handle_request(Arc::clone(&shared), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    spawn_connection(connection, mode);
}
