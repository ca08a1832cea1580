//! A read of the store that doesn't wait for a lost answer.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_platform::{
    StoreClient,
    StoreError,
    StoreListing, //
};
use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use tokio::time::sleep;
use tracing::{
    debug,
    info, //
};

use super::store_watch::CALL_TIMEOUT;

/// Time without an answer after which the same read is made once more, on a new connection.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Lists the keys that begin with `prefix`, and returns the connection that answered.
///
/// A call that the store doesn't answer is lost with its connection, and the store may be back long
/// before the call times out. A process that can't serve before it has read the keys makes further
/// calls meanwhile; the first answer counts.
///
/// # Errors
///
/// Returns the fault of the last call when all have failed.
pub(super) async fn list_hedged(
    store: SocketAddrV4,
    prefix: &'static str,
) -> Result<(StoreClient, StoreListing), StoreError> {
    let mut calls = FuturesUnordered::new();
    loop {
        calls.push(list_once(store, prefix));
        let next_call = sleep(HEDGE_DELAY);
        tokio::pin!(next_call);
        loop {
            tokio::select! {
                Some(outcome) = calls.next() => match outcome {
                    Ok(found) => return Ok(found),
                    Err(error) if calls.is_empty() => return Err(error),
                    Err(error) => debug!(prefix, %error, "one of several calls failed"),
                },
                () = &mut next_call => break,
            }
        }
        info!(
            prefix,
            calls = calls.len(),
            "no answer of the store yet; calling again"
        );
    }
}

async fn list_once(
    store: SocketAddrV4,
    prefix: &'static str,
) -> Result<(StoreClient, StoreListing), StoreError> {
    let mut client = StoreClient::new(store, CALL_TIMEOUT);
    let listing = client.list(prefix).await?;
    Ok((client, listing))
}
