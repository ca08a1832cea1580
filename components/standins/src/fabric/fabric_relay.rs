//! The relay's sockets and its fault injection.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use super::{
    relay_faults::RelayFaults,
    relay_shared::RelayShared,
    service_port::{
        bind_service,
        run_service, //
    },
    task_guard::TaskGuard,
    RelayCounts,
    RelaySettings, //
};
use crate::StandinError;

/// Stand-in for the network fabric: a UDP relay that binds the service addresses and forwards each
/// datagram to a balancer picked at random.
///
/// Clones control the same relay, which stops when the last of them is dropped.
#[derive(Clone)]
pub struct FabricRelay {
    shared: Arc<RelayShared>,
    services: Arc<Mutex<Vec<ServiceTask>>>,
    _delay_task: Arc<TaskGuard>,
}

struct ServiceTask {
    address: SocketAddrV4,
    _task: TaskGuard,
}

impl FabricRelay {
    /// Starts a relay on the service addresses of `settings`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if a service address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(settings: RelaySettings) -> Result<FabricRelay, StandinError> {
        let services = settings.services.clone();
        let shared = Arc::new(RelayShared::new(settings));
        let delay_task = TaskGuard::spawn(Arc::clone(&shared).send_delayed());
        let relay = FabricRelay {
            shared,
            services: Arc::default(),
            _delay_task: Arc::new(delay_task),
        };
        relay.set_services(services)?;
        Ok(relay)
    }

    /// Replaces the service addresses; callers of addresses that remain are not affected.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if an address can't be bound; the addresses before it in the
    /// list are served then.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn set_services(
        &self,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
    ) -> Result<(), StandinError> {
        let wanted: Vec<SocketAddrV4> = addresses.into_iter().collect();
        let mut services = self.lock_services();
        services.retain(|service| wanted.contains(&service.address));
        for address in wanted {
            if services.iter().any(|service| service.address == address) {
                continue;
            }
            let (socket, address) = bind_service(address)?;
            let run = run_service(Arc::clone(&self.shared), socket, address);
            let _task = TaskGuard::spawn(run);
            services.push(ServiceTask { address, _task });
        }
        Ok(())
    }

    /// Returns the service addresses; a port set as 0 is replaced by the bound port.
    pub fn services(&self) -> Vec<SocketAddrV4> {
        let services = self.lock_services();
        services.iter().map(|service| service.address).collect()
    }

    /// Replaces the balancers to which datagrams are forwarded.
    pub fn set_balancers(&self, balancers: impl IntoIterator<Item = Ipv4Addr>) {
        let balancers = balancers.into_iter().collect();
        self.change(|faults| faults.balancers = balancers);
    }

    /// Loses each datagram with a probability from 0 to 1, in both directions.
    pub fn set_loss(&self, probability: f64) {
        self.change(|faults| faults.loss = probability.clamp(0.0, 1.0));
    }

    /// Duplicates each datagram with a probability from 0 to 1, in both directions.
    pub fn set_duplicates(&self, probability: f64) {
        self.change(|faults| faults.duplicates = probability.clamp(0.0, 1.0));
    }

    /// Delays each datagram by `delay` and up to `jitter` more; jitter reorders datagrams.
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        self.change(|faults| {
            faults.delay = delay;
            faults.jitter = jitter;
        });
    }

    /// Loses all datagrams to and from a balancer, which still is picked for datagrams.
    pub fn isolate_balancer(&self, balancer: Ipv4Addr) {
        self.change(|faults| faults.isolated_balancers.push(balancer));
    }

    /// Ends the isolation of a balancer.
    pub fn reconnect_balancer(&self, balancer: Ipv4Addr) {
        self.change(|faults| {
            faults
                .isolated_balancers
                .retain(|isolated| *isolated != balancer)
        });
    }

    /// Silently loses all datagrams between a caller address and a service address, as a
    /// middlebox does that has lost the state of the five-tuple.
    pub fn blackhole_flow(&self, caller: SocketAddrV4, service: SocketAddrV4) {
        self.change(|faults| faults.blackholed_flows.push((caller, service)));
    }

    /// Ends the loss of datagrams on all flows set by [`FabricRelay::blackhole_flow`].
    pub fn clear_blackholes(&self) {
        self.change(|faults| faults.blackholed_flows.clear());
    }

    /// Returns the counts of datagrams since the start, and of open sockets.
    pub fn counts(&self) -> RelayCounts {
        self.shared.counts()
    }

    fn change(&self, change: impl FnOnce(&mut RelayFaults)) {
        change(&mut self.shared.faults_mut());
    }

    /// Locks the list of services.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    fn lock_services(&self) -> MutexGuard<'_, Vec<ServiceTask>> {
        let services = self.services.lock();
        services.expect("a holder of the lock panicked")
    }
}
