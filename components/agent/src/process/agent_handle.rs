//! Start and stop of an agent.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    thread::JoinHandle, //
};

use carobdrum_control::{
    spawn_thread,
    unix_millis,
    wait_for_stop,
    ProcessClock,
    PublishedState, //
};
use carobdrum_core::{
    request::{
        LedgerLimits,
        OutcomeLedger, //
    },
    Millis,
};
use carobdrum_settings::{
    read_secret,
    AgentSettings, //
};
use carobdrum_wire::TunnelKey;
use snafu::{
    OptionExt,
    ResultExt, //
};
use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};
use tracing::info;

use super::{
    agent_error::{
        ControlEndedSnafu,
        SocketFailedSnafu,
        ThreadFailedSnafu, //
    },
    control_thread::{
        run_control,
        ControlParts, //
    },
    traffic_thread::{
        run_traffic,
        TrafficParts, //
    },
    AgentError,
    AgentMetrics,
    AgentShared, //
};
use crate::request::SharedLedger;

/// Maximum number of control datagrams queued for the control thread.
const CONTROL_QUEUE_LEN: usize = 256;
/// Maximum number of calls of other agents queued for the traffic thread.
const AGENT_CALL_QUEUE_LEN: usize = 32;
/// Kernel buffer per direction, in bytes; enough for a burst of a few milliseconds.
const KERNEL_BUFFER_LEN: usize = 4 << 20;
/// Limits of the outcomes kept for repeated requests: one day of a busy server.
const LEDGER_LIMITS: LedgerLimits = LedgerLimits {
    max_keys: 65_536,
    max_bytes: 8 << 20,
    retention: Millis(24 * 60 * 60 * 1_000),
};

/// Handle of a running agent.
pub struct AgentHandle {
    stop: watch::Sender<bool>,
    shared: Arc<AgentShared>,
    threads: Vec<JoinHandle<()>>,
}

impl AgentHandle {
    /// Starts an agent on its own threads and waits until its control address is open.
    ///
    /// # Errors
    ///
    /// Returns an [`AgentError`] if the settings can't be used, or if a socket, thread or actor
    /// can't be created.
    pub fn spawn(settings: AgentSettings) -> Result<AgentHandle, AgentError> {
        let secret = read_secret(&settings.process.secret_file)?;
        let address = settings.process.address;
        let socket = open_socket(address).context(SocketFailedSnafu { address })?;
        let control_socket = socket.try_clone().context(SocketFailedSnafu { address })?;
        let clock = ProcessClock::start();
        let shared = Arc::new(AgentShared::new(
            clock,
            address.port(),
            settings.process.data_centre.clone(),
        ));
        let metrics = AgentMetrics::default();
        let incarnation = unix_millis();
        let ledger = SharedLedger::new(OutcomeLedger::new(LEDGER_LIMITS), incarnation);
        let (published, state) = watch::channel(PublishedState::default());
        let (control, datagrams) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (stop, stopped) = watch::channel(false);
        let (end, ended) = oneshot::channel();
        let hedging_channels = (settings.hedging.percent > 0).then(|| {
            let (balancers, active) = watch::channel(Vec::new());
            let (agent_calls, calls) = mpsc::channel(AGENT_CALL_QUEUE_LEN);
            ((balancers, agent_calls), (active, calls))
        });
        let (hedging_control, hedging_traffic) = hedging_channels.unzip();
        let (balancers, agent_calls) = hedging_control.unzip();
        // This may run on a runtime, where blocking on a Tokio channel would panic.
        let (ready, started) = std::sync::mpsc::sync_channel(1);
        let traffic = TrafficParts {
            settings: settings.clone(),
            incarnation,
            key: TunnelKey::new(&secret),
            socket,
            shared: Arc::clone(&shared),
            metrics: metrics.clone(),
            published: state,
            control,
            ledger: ledger.clone(),
            hedging: hedging_traffic,
            stopped,
        };
        let control = ControlParts {
            settings,
            incarnation,
            secret,
            socket: control_socket,
            shared: Arc::clone(&shared),
            metrics,
            published,
            datagrams,
            ledger,
            balancers,
            agent_calls,
            ended,
            ready,
        };
        let thread = spawn_thread("control", move || run_control(control));
        let mut threads = vec![thread.context(ThreadFailedSnafu)?];
        started.recv().ok().context(ControlEndedSnafu)??;
        let thread = spawn_thread("traffic", move || async move {
            let result = run_traffic(traffic).await;
            // The control thread announces that the agent is draining until the last flow has
            // ended.
            let _ = end.send(());
            result
        });
        threads.push(thread.context(ThreadFailedSnafu)?);
        Ok(AgentHandle {
            stop,
            shared,
            threads,
        })
    }

    /// Stops the agent gracefully: waits for running requests up to the drain timeout, then for the
    /// threads.
    pub fn stop(self) {
        self.shared.set_draining();
        self.stop.send_replace(true);
        for thread in self.threads {
            // The panic of a thread has been reported already.
            let _ = thread.join();
        }
    }

    /// Returns whether all threads have ended although the agent was not stopped.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }
}

/// Runs an agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an [`AgentError`] if the agent or the signal handlers can't be started.
pub fn run(settings: AgentSettings) -> Result<(), AgentError> {
    let handle = AgentHandle::spawn(settings)?;
    wait_for_stop().context(ThreadFailedSnafu)?;
    info!("graceful shutdown started");
    handle.stop();
    Ok(())
}

fn open_socket(address: SocketAddrV4) -> std::io::Result<std::net::UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The kernel may grant a smaller buffer, with which the socket still works.
    let _ = socket.set_recv_buffer_size(KERNEL_BUFFER_LEN);
    let _ = socket.set_send_buffer_size(KERNEL_BUFFER_LEN);
    socket.bind(&address.into())?;
    Ok(socket.into())
}
