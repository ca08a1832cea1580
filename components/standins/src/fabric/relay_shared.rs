//! What the relay's tasks share.

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
    delay_line::DelayLine,
    relay_faults::{
        CopyDelays,
        RelayFaults, //
    },
    RelayCounts,
    RelaySettings, //
};

/// What the relay's tasks share: faults, bounds and counts.
pub(crate) struct RelayShared {
    faults: RwLock<RelayFaults>,
    seed: AtomicU64,
    max_callers: u64,
    idle: Duration,
    forwarded: AtomicU64,
    returned: AtomicU64,
    lost: AtomicU64,
    refused: AtomicU64,
    callers: AtomicU64,
    delayed: DelayLine<DelayedDatagram>,
}

/// Direction of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayDirection {
    ToBalancer,
    ToCaller,
}

/// A datagram that waits for its delay.
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
            idle: settings.idle,
            forwarded: AtomicU64::new(0),
            returned: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            callers: AtomicU64::new(0),
            delayed: DelayLine::new(),
        }
    }

    /// Returns the faults for reading.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    pub(crate) fn faults(&self) -> RwLockReadGuard<'_, RelayFaults> {
        self.faults.read().expect("a holder of the lock panicked")
    }

    /// Returns the faults for changing.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    pub(crate) fn faults_mut(&self) -> RwLockWriteGuard<'_, RelayFaults> {
        self.faults.write().expect("a holder of the lock panicked")
    }

    /// Returns a source of random numbers for one task.
    pub(crate) fn task_rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns after how long without datagrams a caller's socket is closed.
    pub(crate) fn idle(&self) -> Duration {
        self.idle
    }

    /// Counts one more caller, unless the bound is reached.
    pub(crate) fn enter_caller(&self) -> bool {
        let entered = self.callers.fetch_add(1, Ordering::Relaxed) < self.max_callers;
        if !entered {
            self.leave_caller();
        }
        entered
    }

    /// Counts one caller less.
    pub(crate) fn leave_caller(&self) {
        self.callers.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a datagram that a bound of the relay stopped.
    pub(crate) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends the copies of a datagram, those with a delay by [`RelayShared::send_delayed`].
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
            (Err(_), _) => &self.refused,
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
            self.count_refused();
        }
    }

    /// Sends the delayed datagrams when their time has come, until the task is aborted.
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
            refused: self.refused.load(Ordering::Relaxed),
            callers: self.callers.load(Ordering::Relaxed),
        }
    }
}
