//! The key of an agent in the store.

use std::time::Duration;

use carobdrum_flows::process::AgentRecord;
use carobdrum_platform::{
    agent_key,
    write_agent,
    StoreClient,
    StoreFault, //
};
use tokio::{
    sync::watch,
    time::sleep, //
};
use tracing::{
    error,
    info, //
};

use super::store_watch::{
    StoreBackoff,
    LONGEST_PAUSE, //
};

/// Time that a lease lasts without renewal.
const LEASE_TIME: Duration = Duration::from_secs(6);

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Holds the key of an agent under a lease, until `record` is closed; then ends the lease.
pub(crate) async fn hold_key(mut client: StoreClient, mut record: watch::Receiver<AgentRecord>) {
    let mut lease = None;
    let mut backoff = StoreBackoff::default();
    loop {
        let written = record.borrow_and_update().clone();
        let outcome = match lease {
            Some(held) => client.renew(held).await.map(|()| held),
            None => write_key(&mut client, &written).await,
        };
        match outcome {
            Ok(held) => {
                backoff.succeed("lease");
                lease = Some(held);
            }
            Err(StoreFault::LeaseEnded) => {
                info!("lease ended; writing the key again");
                lease = None;
                continue;
            }
            Err(error) => {
                backoff.fail("lease", &error, LONGEST_PAUSE).await;
                continue;
            }
        }
        tokio::select! {
            changed = record.changed() => {
                if changed.is_err() {
                    break;
                }
                lease = None;
            }
            () = sleep(RENEW_INTERVAL) => {}
        }
    }
    if let Some(held) = lease {
        if let Err(error) = client.end(held).await {
            info!(%error, "lease left to lapse");
        }
    }
}

async fn write_key(client: &mut StoreClient, record: &AgentRecord) -> Result<u64, StoreFault> {
    let value = match write_agent(record) {
        Ok(value) => value,
        Err(error) => {
            error!(%error, "entry of the agent can't be encoded");
            Vec::new()
        }
    };
    let lease = client.grant(LEASE_TIME).await?;
    client
        .put(&agent_key(record.address), &value, lease)
        .await?;
    info!(agent = %record.address, service = %record.service, lease, "key written");
    Ok(lease)
}
