//! Actor that keeps the entry of an agent in the store.

use std::{
    net::SocketAddrV4,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use carobdrum_flows::process::AgentRecord;
use carobdrum_platform::{
    agent_key,
    encode_agent_entry,
    registration_key,
    saved_key,
    StoreClient,
    StoreError,
    StorePut,
    StoreTransaction, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    SpawnErr, //
};
use tracing::info;

use super::store_backoff::{
    StoreBackoff,
    CALL_TIMEOUT,
    MAX_BACKOFF, //
};

/// Time to live of a lease, unless the store grants only longer ones.
const LEASE_TTL: Duration = Duration::from_secs(6);

const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Messages to the [`LeaseActor`].
pub(crate) enum LeaseMessage {
    /// The agent's entry has changed and is to be written.
    Write(AgentRecord),
    /// The entry couldn't be written; try again unless it has been written since.
    Retry,
    /// The lease is due for renewal, or a failed renewal for a retry.
    Renew,
}

/// Arguments of a [`LeaseActor`].
pub(crate) struct LeaseArguments {
    pub(crate) store: SocketAddrV4,
    /// Shortest time to live that the store grants.
    pub(crate) min_lease: Duration,
    /// Whether a registration without a lease is written with the entry.
    pub(crate) registers: bool,
    /// Whether the registration is deleted when the actor is stopped, since the server has ended.
    pub(crate) unregisters: Arc<AtomicBool>,
    /// Whether the agent saves flows, whose key is deleted with the registration.
    pub(crate) saves_flows: bool,
}

/// State of a [`LeaseActor`].
pub(crate) struct LeaseState {
    client: StoreClient,
    /// The entry; `None` until the first one is to be written.
    record: Option<AgentRecord>,
    is_written: bool,
    lease_ttl: Duration,
    lease: Option<u64>,
    registers: bool,
    unregisters: Arc<AtomicBool>,
    saves_flows: bool,
    /// The registered agent, and the revision of its registration.
    registration: Option<(SocketAddrV4, u64)>,
    backoff: StoreBackoff,
}

/// Keeps the store entry of an agent under a lease, and ends the lease when it is stopped.
pub(crate) struct LeaseActor;

/// Starts the actor on the current runtime.
///
/// # Errors
///
/// Returns [`SpawnErr`] if the actor can't start.
pub(crate) async fn spawn_lease(
    arguments: LeaseArguments,
) -> Result<ActorRef<LeaseMessage>, SpawnErr> {
    let (actor, _) = Actor::spawn(None, LeaseActor, arguments).await?;
    Ok(actor)
}

impl Actor for LeaseActor {
    type Msg = LeaseMessage;
    type State = LeaseState;
    type Arguments = LeaseArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<LeaseMessage>,
        arguments: LeaseArguments,
    ) -> Result<LeaseState, ActorProcessingErr> {
        myself.send_message(LeaseMessage::Renew)?;
        Ok(LeaseState {
            client: StoreClient::new(arguments.store, CALL_TIMEOUT),
            record: None,
            is_written: false,
            lease_ttl: LEASE_TTL.max(arguments.min_lease),
            lease: None,
            registers: arguments.registers,
            unregisters: arguments.unregisters,
            saves_flows: arguments.saves_flows,
            registration: None,
            backoff: StoreBackoff::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<LeaseMessage>,
        message: LeaseMessage,
        state: &mut LeaseState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LeaseMessage::Write(record) => {
                state.record = Some(record);
                state.is_written = false;
                state.write_or_retry(&myself).await;
            }
            LeaseMessage::Retry => {
                if !state.is_written {
                    state.write_or_retry(&myself).await;
                }
            }
            LeaseMessage::Renew => {
                let pause = state.renew_or_write().await;
                myself.send_after(pause, || LeaseMessage::Renew);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<LeaseMessage>,
        state: &mut LeaseState,
    ) -> Result<(), ActorProcessingErr> {
        if state.unregister().await {
            return Ok(());
        }
        if state.registers {
            // The server lives and may hold flows, so the agent isn't to be taken as gone before the next process
            // has written the entry.
            return Ok(());
        }
        if let Some(lease) = state.lease.take() {
            if let Err(error) = state.client.end_lease(lease).await {
                info!(%error, "lease not ended; it will expire");
            }
        }
        Ok(())
    }
}

impl LeaseState {
    async fn write_or_retry(&mut self, myself: &ActorRef<LeaseMessage>) {
        let pause = self.renew_or_write().await;
        if !self.is_written {
            myself.send_after(pause, || LeaseMessage::Retry);
        }
    }

    /// Renews the lease, or writes the entry under a new one; returns the delay before the next
    /// renewal or retry.
    async fn renew_or_write(&mut self) -> Duration {
        let Some(record) = self.record.clone() else {
            return RENEW_INTERVAL;
        };
        let outcome = match self.lease {
            Some(lease) if self.is_written => self.client.renew_lease(lease).await.map(|()| lease),
            lease => self.write(&record, lease).await,
        };
        match outcome {
            Ok(lease) => {
                self.backoff.record_success("lease");
                self.lease = Some(lease);
                self.is_written = true;
                RENEW_INTERVAL
            }
            Err(StoreError::LeaseEnded) => {
                info!("lease has expired; writing the store entry again");
                self.lease = None;
                Duration::ZERO
            }
            Err(error) => self.backoff.record_failure("lease", &error, MAX_BACKOFF),
        }
    }

    /// Deletes the entry and the registration if the server has ended; returns whether it did. Then the
    /// lease has no keys and needs no end. Both keys stay if the registration has changed, as another
    /// process may serve the address.
    async fn unregister(&mut self) -> bool {
        let Some((address, revision)) = self.registration else {
            return false;
        };
        if !self.unregisters.load(Ordering::Relaxed) {
            return false;
        }
        let (entry, registration) = (agent_key(address), registration_key(address));
        let saved = saved_key(address);
        let keys = [entry.as_str(), registration.as_str(), saved.as_str()];
        let deleted = if self.saves_flows { 3 } else { 2 };
        let transaction = StoreTransaction {
            expected: &[(&registration, revision)],
            deletes: &keys[..deleted],
            ..StoreTransaction::default()
        };
        match self.client.commit(&transaction).await {
            Ok(_) => {
                info!(agent = %address, "registration deleted: the server has ended");
                true
            }
            Err(error) => {
                info!(%error, "registration not deleted; a balancer will delete it");
                false
            }
        }
    }

    /// Writes the entry under `lease`, or under a new one.
    async fn write(&mut self, record: &AgentRecord, lease: Option<u64>) -> Result<u64, StoreError> {
        let value = encode_agent_entry(record)?;
        let lease = match lease {
            Some(lease) => lease,
            None => self.client.grant_lease(self.lease_ttl).await?,
        };
        let key = agent_key(record.address);
        if self.registers {
            let registration = registration_key(record.address);
            // The registration comes last, so that its revision is that of the store also if each write
            // has one of its own.
            let puts = [
                StorePut {
                    key: &key,
                    value: &value,
                    lease,
                },
                StorePut {
                    key: &registration,
                    value: &value,
                    lease: 0,
                },
            ];
            self.registration = None;
            let transaction = StoreTransaction {
                puts: &puts,
                ..StoreTransaction::default()
            };
            let revision = self.client.commit(&transaction).await?;
            self.registration = revision.map(|revision| (record.address, revision));
        } else {
            self.client.put(&key, &value, lease).await?;
        }
        info!(
            agent = %record.address,
            service = %record.service,
            is_leaving = record.is_leaving,
            lease,
            "store entry written"
        );
        Ok(lease)
    }
}
