//! Actor that keeps the entry of an agent in the store.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use carobdrum_flows::{
    process::AgentRecord,
    version::StoreRevision, //
};
use carobdrum_platform::{
    absent_key,
    agent_key,
    delete_registration,
    encode_agent_entry,
    registration_key,
    StoreClient,
    StoreEndpoint,
    StoreEra,
    StoreError,
    StoreItem,
    StoreLease,
    StorePut,
    StoreTransaction, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    SpawnErr, //
};
use rand::Rng;
use tokio::{
    sync::oneshot,
    time::timeout, //
};
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::store_backoff::{
    StoreBackoff,
    CALL_TIMEOUT,
    MAX_BACKOFF, //
};

/// Time to live of a lease, unless the store grants only longer ones.
const LEASE_TTL: Duration = Duration::from_secs(6);

const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time over which agents spread the writes of their entries after a return of the store from an older copy. Each agent
/// makes two calls.
const REGISTER_SPREAD: Duration = Duration::from_millis(600);

/// Messages to the [`LeaseActor`].
pub(crate) enum LeaseMessage {
    /// The agent's entry has changed and is to be written.
    Write(AgentRecord),
    /// The entry couldn't be written; try again unless it has been written since.
    Retry,
    /// The lease is due for renewal, or a failed renewal for a retry.
    Renew,
    /// A later era of the store is known, in which the lease doesn't exist.
    EraRisen,
    /// The server has ended: try once, within this time, to delete the entry and the registration.
    Unregister(Duration, oneshot::Sender<Unregistration>),
}

/// Outcome of an attempt to delete the entry and the registration.
#[derive(Debug)]
pub(crate) enum Unregistration {
    /// Both are deleted.
    Deleted,
    /// There was nothing to delete, or another process has deleted or written the registration.
    Kept,
    /// The store didn't carry out the request, or its response is missing. The revision is that of the
    /// registration as far as it is known.
    Failed(StoreError, Option<u64>),
}

/// Arguments of a [`LeaseActor`].
pub(crate) struct LeaseArguments {
    pub(crate) store: StoreEndpoint,
    /// Shortest time to live that the store grants.
    pub(crate) min_lease: Duration,
    /// Whether a registration without a lease is written with the entry.
    pub(crate) registers: bool,
    /// Ends all renewals and writes, also those in progress, so that only a deletion follows.
    pub(crate) is_ending: CancellationToken,
}

/// State of a [`LeaseActor`].
pub(crate) struct LeaseState {
    client: StoreClient,
    era: Arc<StoreEra>,
    /// The entry; `None` until the first one is to be written.
    record: Option<AgentRecord>,
    is_written: bool,
    lease_ttl: Duration,
    lease: Option<StoreLease>,
    registers: bool,
    is_ending: CancellationToken,
    /// Order number of the registration after the last write of which the store has told it.
    registration: Option<u64>,
    /// Leases of that write and of later ones, whose outcome is unknown.
    used_leases: Vec<StoreLease>,
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
            client: arguments.store.client(CALL_TIMEOUT),
            era: arguments.store.era,
            record: None,
            is_written: false,
            lease_ttl: LEASE_TTL.max(arguments.min_lease),
            lease: None,
            registers: arguments.registers,
            is_ending: arguments.is_ending,
            registration: None,
            used_leases: Vec::new(),
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
            LeaseMessage::EraRisen => {
                if state.drop_outdated_lease() {
                    myself.send_after(register_delay(), || LeaseMessage::Retry);
                }
            }
            LeaseMessage::Unregister(limit, reply) => {
                // The agent may have stopped waiting.
                let _ = reply.send(state.unregister(limit).await);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<LeaseMessage>,
        state: &mut LeaseState,
    ) -> Result<(), ActorProcessingErr> {
        if state.registers {
            // Unless the keys are deleted, the server may live and hold flows, so the agent isn't to be taken as
            // gone before the next process has written the entry.
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

/// Returns a random delay before an entry is written in a new era.
fn register_delay() -> Duration {
    REGISTER_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
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
        let is_ending = self.is_ending.clone();
        let call = async {
            match self.lease {
                Some(lease) if self.is_written => {
                    self.client.renew_lease(lease).await.map(|()| lease)
                }
                lease => self.write(&record, lease).await,
            }
        };
        let Some(outcome) = is_ending.run_until_cancelled(call).await else {
            return RENEW_INTERVAL;
        };
        match outcome {
            Ok(lease) => {
                self.backoff.record_success("lease");
                self.lease = Some(lease);
                self.is_written = true;
                RENEW_INTERVAL
            }
            Err(StoreError::LeaseEnded) if self.drop_outdated_lease() => register_delay(),
            Err(StoreError::LeaseEnded) => {
                info!("lease has expired; writing the store entry again");
                self.lease = None;
                Duration::ZERO
            }
            Err(error) => self.backoff.record_failure("lease", &error, MAX_BACKOFF),
        }
    }

    /// Forgets a lease of an earlier era, and what was written under it; returns whether it was one.
    fn drop_outdated_lease(&mut self) -> bool {
        let era = self.era.newest();
        let outdated = self.lease.take_if(|lease| lease.era < era);
        let Some(lease) = outdated else {
            return false;
        };
        info!(
            lease = lease.id,
            granted = lease.era.checked_sub(1),
            era = era.checked_sub(1),
            "lease is of an earlier era; writing the store entry again"
        );
        self.is_written = false;
        true
    }

    async fn unregister(&mut self, limit: Duration) -> Unregistration {
        let Some(address) = self.record.as_ref().map(|record| record.address) else {
            return Unregistration::Kept;
        };
        let Ok(outcome) = timeout(limit, self.delete_keys(address)).await else {
            let error = StoreError::Timeout { timeout: limit };
            return Unregistration::Failed(error, self.registration);
        };
        match outcome {
            Ok(is_deleted) => {
                self.record = None;
                if is_deleted {
                    Unregistration::Deleted
                } else {
                    Unregistration::Kept
                }
            }
            Err(error) => Unregistration::Failed(error, self.registration),
        }
    }

    /// Deletes the entry and the registration; returns whether it did. All keys stay if another process
    /// has written the registration, as it may serve the address.
    async fn delete_keys(&mut self, address: SocketAddrV4) -> Result<bool, StoreError> {
        if let Some(revision) = self.registration {
            match delete_registration(&mut self.client, address, revision).await {
                Err(StoreError::Conflict) => {}
                outcome => return outcome.map(|()| true),
            }
        }
        let Some(revision) = self.find_own(address).await? else {
            return Ok(false);
        };
        match delete_registration(&mut self.client, address, revision).await {
            Err(StoreError::Conflict) => Ok(false),
            outcome => outcome.map(|()| true),
        }
    }

    /// Returns the revision of the registration if this process has written it, which its revision alone
    /// doesn't show after a write without a response. The entry, which the same transaction has written,
    /// then has a lease of this process, and the same revision or the one before.
    async fn find_own(&mut self, address: SocketAddrV4) -> Result<Option<u64>, StoreError> {
        let (entry, registration) = (agent_key(address), registration_key(address));
        let listing = self.client.list(&entry).await?;
        let find = |key: &str| listing.items.iter().find(|item| item.key == key);
        let is_own = |item: &&StoreItem| {
            let mut leases = self.used_leases.iter();
            let era = StoreRevision::from_order(item.revision).era;
            leases.any(|lease| lease.id == item.lease && lease.era == era)
        };
        let own = find(&entry).filter(is_own);
        let Some((own, registration)) = own.zip(find(&registration)) else {
            return Ok(None);
        };
        let revision = registration.revision;
        let is_same_write = revision == own.revision || revision == own.revision + 1;
        Ok(is_same_write.then_some(revision))
    }

    /// Writes the entry under `lease`, or under a new one.
    async fn write(
        &mut self,
        record: &AgentRecord,
        lease: Option<StoreLease>,
    ) -> Result<StoreLease, StoreError> {
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
                    lease: Some(lease),
                },
                StorePut {
                    key: &registration,
                    value: &value,
                    lease: None,
                },
            ];
            // Deleting a mark may raise the revision in the response beyond that of the registration; `find_own`
            // then finds it.
            let mark = absent_key(record.address);
            let transaction = StoreTransaction {
                puts: &puts,
                deletes: &[&mark],
                ..StoreTransaction::default()
            };
            if !self.used_leases.contains(&lease) {
                self.used_leases.push(lease);
            }
            self.registration = self.client.commit(&transaction).await?;
            self.used_leases = vec![lease];
        } else {
            self.client.put(&key, &value, Some(lease)).await?;
        }
        info!(
            agent = %record.address,
            service = %record.service,
            is_leaving = record.is_leaving,
            lease = lease.id,
            era = lease.era.checked_sub(1),
            "store entry written"
        );
        Ok(lease)
    }
}
