//! Following keys of the store.

use std::time::Duration;

use carobdrum_platform::{
    StoreChange,
    StoreClient,
    StoreFault,
    StoreItem,
    StoreNews, //
};
use rand::Rng;
use tokio::time::sleep;
use tracing::{
    info,
    warn, //
};

/// Longest wait of a watch; the connection's keep-alive finds a silent store sooner.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// First and longest pause before a failed call is repeated.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time limit of a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a watch tells.
#[derive(Debug)]
pub(crate) enum KeyNews {
    /// All keys, at the start and whenever changes may have been missed.
    All(Vec<StoreItem>),
    /// Changes since the last news.
    Changes(Vec<StoreChange>),
}

/// Reads the keys that begin with `prefix` and follows their changes, for as long as `take` returns
/// true.
pub(crate) async fn follow_keys(
    mut client: StoreClient,
    prefix: &'static str,
    mut take: impl AsyncFnMut(KeyNews) -> bool,
) {
    let mut after = None;
    let mut backoff = StoreBackoff::default();
    loop {
        let outcome = follow_once(&mut client, prefix, after).await;
        match outcome {
            Ok((news, revision)) => {
                backoff.succeed(prefix);
                after = revision;
                if let Some(news) = news {
                    if !take(news).await {
                        return;
                    }
                }
            }
            Err(error) => backoff.fail(prefix, &error).await,
        }
    }
}

/// Makes one call; returns what it told, and the revision from which the next one goes on.
async fn follow_once(
    client: &mut StoreClient,
    prefix: &str,
    after: Option<u64>,
) -> Result<(Option<KeyNews>, Option<u64>), StoreFault> {
    let Some(after) = after else {
        let listing = client.list(prefix).await?;
        return Ok((Some(KeyNews::All(listing.items)), Some(listing.revision)));
    };
    match client.watch(prefix, after, WATCH_WAIT).await? {
        StoreNews::Changes(changes, revision) => {
            let news = (!changes.is_empty()).then_some(KeyNews::Changes(changes));
            Ok((news, Some(revision.max(after))))
        }
        StoreNews::Forgotten => {
            info!(
                prefix,
                after, "the store has forgotten its history; reading anew"
            );
            Ok((None, None))
        }
    }
}

/// Pauses between failed calls, and the log of an outage's begin and end.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Notes a call that succeeded.
    pub(crate) fn succeed(&mut self, what: &str) {
        if self.failures > 0 {
            info!(what, failures = self.failures, "store regained");
        }
        self.failures = 0;
    }

    /// Notes a call that failed, and pauses.
    pub(crate) async fn fail(&mut self, what: &str, error: &StoreFault) {
        if self.failures == 0 {
            warn!(what, %error, "store lost");
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(8));
        let pause = pause.min(LONGEST_PAUSE);
        self.failures += 1;
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}
