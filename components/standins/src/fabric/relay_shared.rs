//! State shared by the relay's tasks.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        RwLock,
        RwLockReadGuard,
        RwLockWriteGuard, //
    },
    time::Duration,
};

use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use tokio::{
    net::UdpSocket,
    time::Instant, //
};

use super::{
    delay_queue::DelayQueue,
    relay_faults::{
        CopyDelays,
        RelayFaults, //
    },
    relay_settings::ObserverFn,
    RelayCounts,
    RelaySettings, //
};

/// State shared by the relay's tasks: faults, limits and counts.
pub(crate) struct RelayShared {
    faults: RwLock<RelayFaults>,
    seed: AtomicU64,
    max_callers: u64,
    idle_timeout: Duration,
    observer: ObserverFn,
    forwarded: AtomicU64,
    returned: AtomicU64,
    lost: AtomicU64,
    dropped: AtomicU64,
    callers: AtomicU64,
    delayed: DelayQueue<DelayedDatagram>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayDirection {
    ToBalancer,
    ToCaller,
}

/// A delayed datagram.
struct DelayedDatagram {
    socket: Arc<UdpSocket>,
    datagram: Vec<u8>,
    target: SocketAddrV4,
    direction: RelayDirection,
}

impl RelayShared {
    pub(crate) fn new(settings: RelaySettings) -> RelayShared {
        let faults = RelayFaults {
            balancers: settings.balancers,
            ..RelayFaults::default()
        };
        RelayShared {
            faults: RwLock::new(faults),
            seed: AtomicU64::new(settings.seed),
            max_callers: settings.max_callers as u64,
            idle_timeout: settings.idle_timeout,
            observer: settings.observer,
            forwarded: AtomicU64::new(0),
            returned: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            callers: AtomicU64::new(0),
            delayed: DelayQueue::new(),
        }
    }

    /// Locks the faults for reading.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    pub(crate) fn faults(&self) -> RwLockReadGuard<'_, RelayFaults> {
        self.faults.read().expect("a holder of the lock panicked")
    }

    /// Locks the faults for writing.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    pub(crate) fn faults_mut(&self) -> RwLockWriteGuard<'_, RelayFaults> {
        self.faults.write().expect("a holder of the lock panicked")
    }

    /// Returns a random number generator with a seed of its own for one task.
    pub(crate) fn task_rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns after how long without datagrams from a caller its socket is closed.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Calls the observer with a datagram of a caller.
    pub(crate) fn observe(&self, caller: SocketAddrV4, datagram: &[u8]) {
        (self.observer)(caller, datagram);
    }

    /// Counts one more caller, unless the limit is reached, and returns whether it was counted.
    pub(crate) fn reserve_caller(&self) -> bool {
        let reserved = self.callers.fetch_add(1, Ordering::Relaxed) < self.max_callers;
        if !reserved {
            self.release_caller();
        }
        reserved
    }

    /// Counts one caller fewer.
    pub(crate) fn release_caller(&self) {
        self.callers.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a datagram that was dropped because of a limit of the relay.
    pub(crate) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends the copies of a datagram; delayed ones are sent by [`RelayShared::send_delayed`].
    pub(crate) async fn deliver(
        &self,
        socket: &Arc<UdpSocket>,
        datagram: &[u8],
        target: SocketAddrV4,
        copies: CopyDelays,
        direction: RelayDirection,
    ) {
        if copies == [None, None] {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        for delay in copies.into_iter().flatten() {
            if delay.is_zero() {
                self.send(socket, datagram, target, direction).await;
            } else {
                self.send_later(socket, datagram, target, direction, delay);
            }
        }
    }

    async fn send(
        &self,
        socket: &UdpSocket,
        datagram: &[u8],
        target: SocketAddrV4,
        direction: RelayDirection,
    ) {
        let sent = socket.send_to(datagram, SocketAddr::V4(target)).await;
        let count = match (sent, direction) {
            (Err(_), _) => &self.dropped,
            (Ok(_), RelayDirection::ToBalancer) => &self.forwarded,
            (Ok(_), RelayDirection::ToCaller) => &self.returned,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn send_later(
        &self,
        socket: &Arc<UdpSocket>,
        datagram: &[u8],
        target: SocketAddrV4,
        direction: RelayDirection,
        delay: Duration,
    ) {
        let delayed = DelayedDatagram {
            socket: Arc::clone(socket),
            datagram: datagram.to_vec(),
            target,
            direction,
        };
        if !self.delayed.push(Instant::now() + delay, delayed) {
            self.count_dropped();
        }
    }

    /// Sends delayed datagrams when they are due, until the task is aborted.
    pub(crate) async fn send_delayed(self: Arc<Self>) {
        loop {
            let delayed = self.delayed.next().await;
            let (socket, datagram) = (&delayed.socket, &delayed.datagram);
            self.send(socket, datagram, delayed.target, delayed.direction)
                .await;
        }
    }

    /// Returns the counts.
    pub(crate) fn counts(&self) -> RelayCounts {
        RelayCounts {
            forwarded: self.forwarded.load(Ordering::Relaxed),
            returned: self.returned.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            callers: self.callers.load(Ordering::Relaxed),
        }
    }
}
