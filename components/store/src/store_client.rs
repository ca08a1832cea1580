//! Calls of the store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_core::version::ConfigVersion;
use compact_str::{
    format_compact,
    CompactString, //
};
use http::Method;
use serde::{
    de::DeserializeOwned,
    Deserialize, //
};
use serde_json::json;
use snafu::{
    ensure,
    ResultExt, //
};

use crate::{
    store_call::{
        StoreAnswer,
        StoreCall, //
    },
    store_error::{
        InvalidKeySnafu,
        MalformedResponseSnafu,
        MalformedVersionSnafu,
        NoSuchVersionSnafu,
        ValueTooLargeSnafu, //
    },
    version_apply::VersionApply,
    ApplyOutcome,
    KeyEntry,
    KeyWatch,
    RetryPlan,
    SessionEnd,
    StoreError,
    StoredVersion,
    TableEdit,
    UndoEdit,
    VersionWatch, //
};

/// Largest value, in bytes; the platform states 1 MB.
const MAX_VALUE: usize = 1_000_000;

/// Time limit of a call. The store responds within milliseconds when it is well.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Retries of an apply: at most 2.6 s of delays in all, after which an operator decides.
const APPLY_RETRIES: u32 = 6;
const FIRST_RETRY: Duration = Duration::from_millis(50);
const LONGEST_RETRY: Duration = Duration::from_secs(1);

/// Key of the version in force.
pub(crate) const CURRENT: &str = "tables/current";

/// Client of the store for one deployment.
///
/// Keys are given without the prefix of the deployment.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    prefix: CompactString,
    timeout: Duration,
    retry: RetryPlan,
}

/// Body of the response to a request for a session.
#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: CompactString,
}

impl StoreClient {
    /// Creates a client; no connection is made yet.
    pub fn new(address: SocketAddr, deployment: impl Into<CompactString>) -> StoreClient {
        StoreClient {
            address,
            prefix: format_compact!("carobdrum/{}/", deployment.into()),
            timeout: CALL_TIMEOUT,
            retry: RetryPlan::new(FIRST_RETRY, LONGEST_RETRY).limited_to(APPLY_RETRIES),
        }
    }

    /// Sets the time limit of a call; a watch may take its own wait in addition.
    pub fn with_timeout(mut self, timeout: Duration) -> StoreClient {
        self.timeout = timeout;
        self
    }

    /// Sets the retries of an apply.
    pub fn with_retry(mut self, retry: RetryPlan) -> StoreClient {
        self.retry = retry;
        self
    }

    /// Returns the retries of an apply.
    pub(crate) fn retry(&self) -> &RetryPlan {
        &self.retry
    }

    /// Reads the version in force; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call, or [`StoreError::MalformedVersion`].
    pub async fn read_version(&self) -> Result<Option<StoredVersion>, StoreError> {
        let Some(entry) = self.read_key(CURRENT).await? else {
            return Ok(None);
        };
        let version = parse_version(&entry)?;
        let index = entry.index;
        Ok(Some(StoredVersion { version, index }))
    }

    /// Waits until the version in force is newer than `index`, but at most for `wait`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call, or [`StoreError::MalformedVersion`].
    pub async fn watch_version(
        &self,
        index: u64,
        wait: Duration,
    ) -> Result<VersionWatch, StoreError> {
        let watch = self.watch_key(CURRENT, index, wait).await?;
        let version = watch.entry.as_ref().map(parse_version).transpose()?;
        let index = watch.index;
        Ok(VersionWatch { index, version })
    }

    /// Applies an edit: copies the version in force to the history and replaces it by
    /// compare-and-swap.
    ///
    /// A lost response is resolved by reading back, and the edit never takes effect twice.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidTables`] or [`StoreError::ValueTooLarge`] for an edit that can't
    /// be applied, [`StoreError::OutcomeUnknown`] if the store failed for too long after a write,
    /// and the last failure otherwise.
    pub async fn apply_version(&self, edit: TableEdit) -> Result<ApplyOutcome, StoreError> {
        VersionApply::new(self, edit).run().await
    }

    /// Makes a new version from the tables of an older one. Numbers of services and data centres
    /// stay those of the version in force.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoSuchVersion`] if the store doesn't have the older version, and what
    /// [`StoreClient::apply_version`] returns.
    pub async fn undo(&self, undo: UndoEdit) -> Result<ApplyOutcome, StoreError> {
        let number = undo.to_number;
        let older = self.read_version_number(number).await?;
        let Some(older) = older else {
            return NoSuchVersionSnafu { number }.fail();
        };
        let edit = TableEdit::new(undo.base, older.routes, older.pools)
            .author(undo.author)
            .comment(undo.comment)
            .edit_id(undo.edit_id);
        self.apply_version(edit).await
    }

    /// Returns the versions from the one in force backwards, at most `limit`.
    ///
    /// The list ends before the first version that was removed from the history.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the calls, or [`StoreError::MalformedVersion`].
    pub async fn history(&self, limit: usize) -> Result<Vec<ConfigVersion>, StoreError> {
        let Some(current) = self.read_version().await? else {
            return Ok(Vec::new());
        };
        let newest = current.version.number;
        let mut versions = vec![current.version];
        for number in (1..newest).rev().take(limit.saturating_sub(1)) {
            match self.read_history(number).await? {
                Some(version) => versions.push(version),
                None => break,
            }
        }
        versions.truncate(limit);
        Ok(versions)
    }

    /// Reads a version by its number, from the history or as the version in force.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the calls, or [`StoreError::MalformedVersion`].
    pub async fn read_version_number(
        &self,
        number: u32,
    ) -> Result<Option<ConfigVersion>, StoreError> {
        let current = self.read_version().await?.map(|stored| stored.version);
        match current {
            Some(current) if current.number == number => Ok(Some(current)),
            _ => self.read_history(number).await,
        }
    }

    /// Reads a replaced version.
    pub(crate) async fn read_history(
        &self,
        number: u32,
    ) -> Result<Option<ConfigVersion>, StoreError> {
        let entry = self.read_key(&history_key(number)).await?;
        entry.as_ref().map(parse_version).transpose()
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn read_key(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let path = self.kv_path(key, "")?;
        let answer = self.call(Method::GET, path, Bytes::new(), self.timeout);
        self.first_entry(&answer.await?)
    }

    /// Waits until a key is modified after `index`, but at most for `wait`. The wait can end early
    /// without a change.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn watch_key(
        &self,
        key: &str,
        index: u64,
        wait: Duration,
    ) -> Result<KeyWatch, StoreError> {
        let wait_ms = wait.as_millis().max(1);
        let query = format_compact!("?index={index}&wait={wait_ms}ms");
        let path = self.kv_path(key, &query)?;
        // Consul adds up to a sixteenth to the wait.
        let timeout = wait + wait / 16 + self.timeout;
        let answer = self.call(Method::GET, path, Bytes::new(), timeout).await?;
        Ok(KeyWatch {
            index: answer.require_index()?,
            entry: self.first_entry(&answer)?,
        })
    }

    /// Returns all keys that start with `prefix`, sorted.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn list_prefix(&self, prefix: &str) -> Result<Vec<KeyEntry>, StoreError> {
        let path = self.kv_path(prefix, "?recurse")?;
        let answer = self.call(Method::GET, path, Bytes::new(), self.timeout);
        self.entries(&answer.await?)
    }

    /// Writes a key if it was last modified at `index`, or if it doesn't exist and `index` is 0.
    /// Returns whether it was written.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call, or [`StoreError::ValueTooLarge`] before sending. The
    /// write may have taken effect unless [`StoreError::is_without_effect`].
    pub async fn write_key_cas(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        index: u64,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?cas={index}");
        self.write(key, &query, value.into()).await
    }

    /// Writes a key and holds it under a session, unless another session holds it. Returns whether
    /// the session holds the key.
    ///
    /// # Errors
    ///
    /// Returns what [`StoreClient::write_key_cas`] returns.
    pub async fn acquire_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        session: &str,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?acquire={session}");
        self.write(key, &query, value.into()).await
    }

    /// Writes a key and gives it up. Returns whether the session held it.
    ///
    /// # Errors
    ///
    /// Returns what [`StoreClient::write_key_cas`] returns.
    pub async fn release_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        session: &str,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?release={session}");
        self.write(key, &query, value.into()).await
    }

    /// Deletes a key if it was last modified at `index`. Returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn delete_key_cas(&self, key: &str, index: u64) -> Result<bool, StoreError> {
        let path = self.kv_path(key, &format_compact!("?cas={index}"))?;
        let answer = self.call(Method::DELETE, path, Bytes::new(), self.timeout);
        parse_answer(&answer.await?.body)
    }

    /// Creates a session that ends when it isn't renewed within `ttl`, and returns its id.
    ///
    /// The lock delay is zero: duties under a session are idempotent or fenced by
    /// compare-and-swap, so that a successor needn't wait.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call; the store refuses a `ttl` below its own
    /// minimum, which is 10 s unless configured otherwise.
    pub async fn create_session(
        &self,
        ttl: Duration,
        end: SessionEnd,
    ) -> Result<CompactString, StoreError> {
        let body = json!({
            "TTL": format_compact!("{}ms", ttl.as_millis()),
            "Behavior": end.behavior(),
            "LockDelay": "0s",
        });
        let path = "/v1/session/create".into();
        let body = Bytes::from(body.to_string());
        let answer = self.call(Method::PUT, path, body, self.timeout).await?;
        let created: CreatedSession = parse_answer(&answer.body)?;
        Ok(created.id)
    }

    /// Renews a session. Returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn renew_session(&self, session: &str) -> Result<bool, StoreError> {
        let path = format_compact!("/v1/session/renew/{session}");
        let answer = self.call(Method::PUT, path, Bytes::new(), self.timeout);
        Ok(answer.await?.found)
    }

    /// Ends a session.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the call.
    pub async fn destroy_session(&self, session: &str) -> Result<(), StoreError> {
        let path = format_compact!("/v1/session/destroy/{session}");
        let answer = self.call(Method::PUT, path, Bytes::new(), self.timeout);
        answer.await.map(drop)
    }

    async fn write(&self, key: &str, query: &str, value: Bytes) -> Result<bool, StoreError> {
        check_len(key, value.len())?;
        let path = self.kv_path(key, query)?;
        let answer = self.call(Method::PUT, path, value, self.timeout).await?;
        parse_answer(&answer.body)
    }

    async fn call(
        &self,
        method: Method,
        path: CompactString,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let call = StoreCall {
            method,
            path,
            body,
            timeout,
        };
        call.send(self.address).await
    }

    fn kv_path(&self, key: &str, query: &str) -> Result<CompactString, StoreError> {
        let key = format_compact!("{}{key}", self.prefix);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
        ensure!(key.bytes().all(allowed), InvalidKeySnafu { key });
        Ok(format_compact!("/v1/kv/{key}{query}"))
    }

    fn first_entry(&self, answer: &StoreAnswer) -> Result<Option<KeyEntry>, StoreError> {
        let entries = self.entries(answer)?;
        Ok(entries.into_iter().next())
    }

    /// Reads the entries of an answer and takes the prefix of the deployment off their keys.
    fn entries(&self, answer: &StoreAnswer) -> Result<Vec<KeyEntry>, StoreError> {
        if !answer.found {
            return Ok(Vec::new());
        }
        let mut entries = KeyEntry::parse_all(&answer.body)?;
        for entry in &mut entries {
            if let Some(key) = entry.key.strip_prefix(&*self.prefix) {
                entry.key = key.into();
            }
        }
        Ok(entries)
    }
}

/// Returns the key of a replaced version.
pub(crate) fn history_key(number: u32) -> CompactString {
    format_compact!("tables/history/{number}")
}

/// Reads the version in an entry.
///
/// # Errors
///
/// Returns [`StoreError::MalformedVersion`] if the value is something else.
pub(crate) fn parse_version(entry: &KeyEntry) -> Result<ConfigVersion, StoreError> {
    let parsed = serde_json::from_slice(&entry.value);
    let key = entry.key.as_str();
    parsed.context(MalformedVersionSnafu { key })
}

/// Checks the length of a value against the limit of the store.
///
/// # Errors
///
/// Returns [`StoreError::ValueTooLarge`].
pub(crate) fn check_len(key: &str, len: usize) -> Result<(), StoreError> {
    let limit = MAX_VALUE;
    ensure!(len <= limit, ValueTooLargeSnafu { key, len, limit });
    Ok(())
}

fn parse_answer<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).context(MalformedResponseSnafu)
}
