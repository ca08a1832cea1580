//! A backend server of the soak test that may be replaced.

use std::time::Duration;

use carobdrum_platform_standins::{
    FlowServer,
    FlowServerSettings,
    ServerLog, //
};
use tokio::time::{
    sleep,
    Instant, //
};

/// Time for which a server goes on serving after it has begun to drain.
const DRAIN_DURATION: Duration = Duration::from_millis(2_500);

/// Time for which a server lives on after it has deregistered.
const LINGER_DURATION: Duration = Duration::from_millis(150);

/// Time after which the address of a server is used again.
const REUSE_DELAY: Duration = Duration::from_millis(2_100);

/// Distance between the numbers of successive servers at one address.
const NUMBER_STEP: u32 = 16;

/// The servers at one address, one after the other.
pub(crate) struct SoakServer {
    settings: FlowServerSettings,
    server: Option<FlowServer>,
    drained_at: Option<Instant>,
    /// When each server that has ended did so, with its number.
    pub(crate) ends: Vec<(u32, Instant)>,
}

impl SoakServer {
    pub(crate) async fn start(settings: FlowServerSettings, log: &ServerLog) -> SoakServer {
        let mut server = SoakServer {
            settings,
            server: None,
            drained_at: None,
            ends: Vec::new(),
        };
        server.restart(log).await;
        server
    }

    /// Starts another server at the address.
    pub(crate) async fn restart(&mut self, log: &ServerLog) {
        self.settings.number += NUMBER_STEP;
        let started = FlowServer::start(self.settings.clone(), log.clone()).await;
        self.server = Some(started.unwrap());
        self.drained_at = None;
    }

    pub(crate) fn drain(&mut self) {
        if let Some(server) = &self.server {
            server.drain();
            self.drained_at
                .get_or_insert(Instant::now() + DRAIN_DURATION);
        }
    }

    /// Returns whether a server runs that isn't draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.server.is_some() && self.drained_at.is_none()
    }

    pub(crate) fn is_drained(&self, now: Instant) -> bool {
        self.server.is_some() && self.drained_at.is_some_and(|due| due <= now)
    }

    pub(crate) fn is_startable(&self, now: Instant) -> bool {
        let ended = self.ends.last();
        self.server.is_none() && ended.is_some_and(|end| end.1 + REUSE_DELAY <= now)
    }

    /// Deregisters the server, which goes on serving.
    pub(crate) async fn deregister(&self) {
        if let Some(server) = &self.server {
            server.deregister().await;
        }
    }

    /// Ends the server a little later.
    pub(crate) async fn end(&mut self) {
        sleep(LINGER_DURATION).await;
        self.kill().await;
    }

    /// Ends the server without a deregistration; its flows and its work in progress are lost.
    pub(crate) async fn kill(&mut self) {
        if let Some(server) = self.server.take() {
            server.end().await;
        }
        self.ends.push((self.settings.number, Instant::now()));
    }
}
