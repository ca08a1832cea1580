//! Hedged read of the store, which doesn't wait for a lost response.

use std::time::Duration;

use carobdrum_platform::{
    StoreClient,
    StoreEndpoint,
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

use super::store_backoff::CALL_TIMEOUT;

/// Time without a response after which the read is repeated on a new connection.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Lists the keys that begin with `prefix`, and returns the client that got the response.
///
/// A request without a response is lost along with its connection, and the store may be available
/// again long before the request times out. A process that can't serve before it has read the keys
/// therefore sends further requests in the meantime and uses the first response.
///
/// # Errors
///
/// Returns the error of the last request when all have failed.
pub(super) async fn list_hedged(
    store: &StoreEndpoint,
    prefix: &str,
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
                    Err(error) => debug!(prefix, %error, "one of several store requests failed"),
                },
                () = &mut next_call => break,
            }
        }
        info!(
            prefix,
            calls = calls.len(),
            "no response of the store yet; sending another request"
        );
    }
}

async fn list_once(
    store: &StoreEndpoint,
    prefix: &str,
) -> Result<(StoreClient, StoreListing), StoreError> {
    let mut client = store.client(CALL_TIMEOUT);
    let listing = client.list(prefix).await?;
    Ok((client, listing))
}
