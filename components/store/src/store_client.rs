//! Client of the store.

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
    store_error::{
        InvalidKeySnafu,
        MalformedResponseSnafu,
        MalformedVersionSnafu,
        NoSuchVersionSnafu,
        ValueTooLargeSnafu, //
    },
    store_request::{
        StoreRequest, //
        StoreResponse,
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

/// Longest value, in bytes; the platform states a limit of 1 MB.
const MAX_VALUE_LEN: usize = 1_000_000;

/// Time limit of a request. A healthy store responds within milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Most retries of an edit. Their delays add up to at most 2.6 s, after which the operator decides
/// how to go on.
const APPLY_RETRIES: u32 = 6;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Key that holds the version in force.
pub(crate) const CURRENT_VERSION_KEY: &str = "tables/current";

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

/// Body of the response to the creation of a session.
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
            timeout: REQUEST_TIMEOUT,
            retry: RetryPlan::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY)
                .with_max_retries(APPLY_RETRIES),
        }
    }

    /// Sets the time limit of a request; a watch may take its wait in addition.
    pub fn with_timeout(mut self, timeout: Duration) -> StoreClient {
        self.timeout = timeout;
        self
    }

    /// Sets how often and after which delays a failed edit is retried.
    pub fn with_retry(mut self, retry: RetryPlan) -> StoreClient {
        self.retry = retry;
        self
    }

    /// Returns the plan for the retries of an edit.
    pub(crate) fn retry(&self) -> &RetryPlan {
        &self.retry
    }

    /// Reads the version in force; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request, or [`StoreError::MalformedVersion`].
    pub async fn read_version(&self) -> Result<Option<StoredVersion>, StoreError> {
        let Some(entry) = self.read_key(CURRENT_VERSION_KEY).await? else {
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
    /// Returns a [`StoreError`] of the request, or [`StoreError::MalformedVersion`].
    pub async fn watch_version(
        &self,
        index: u64,
        wait: Duration,
    ) -> Result<VersionWatch, StoreError> {
        let watch = self.watch_key(CURRENT_VERSION_KEY, index, wait).await?;
        let version = watch.entry.as_ref().map(parse_version).transpose()?;
        let index = watch.index;
        Ok(VersionWatch { index, version })
    }

    /// Applies an edit: copies the version in force to the history and replaces it by
    /// compare-and-swap.
    ///
    /// If the response to a write is lost, the versions in the store show whether the edit took
    /// effect. It never takes effect twice.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidTables`] or [`StoreError::ValueTooLarge`] for an edit that
    /// can't be applied, [`StoreError::OutcomeUnknown`] if a write may have taken effect and the
    /// retries ran out, and the error of the last attempt otherwise.
    pub async fn apply_version(&self, edit: TableEdit) -> Result<ApplyOutcome, StoreError> {
        VersionApply::new(self, edit).run().await
    }

    /// Makes a new version from the tables of an older one. The numeric ids of services and data
    /// centres stay those of the version in force.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoSuchVersion`] if the store doesn't have the older version, and the
    /// errors of [`StoreClient::apply_version`].
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
    /// The list ends before the newest version that was removed from the history.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the requests, or [`StoreError::MalformedVersion`].
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

    /// Reads a version by its number, whether it is in force or in the history.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the requests, or [`StoreError::MalformedVersion`].
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

    /// Reads a replaced version from the history.
    pub(crate) async fn read_history(
        &self,
        number: u32,
    ) -> Result<Option<ConfigVersion>, StoreError> {
        let entry = self.read_key(&history_key(number)).await?;
        entry.as_ref().map(parse_version).transpose()
    }

    /// Reads a key; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn read_key(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let path = self.kv_path(key, "")?;
        let response = self.send(Method::GET, path, Bytes::new(), self.timeout);
        self.first_entry(&response.await?)
    }

    /// Waits until a key is modified after `index`, but at most for `wait`. The wait can end early
    /// without a change.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn watch_key(
        &self,
        key: &str,
        index: u64,
        wait: Duration,
    ) -> Result<KeyWatch, StoreError> {
        let wait_ms = wait.as_millis().max(1);
        let query = format_compact!("?index={index}&wait={wait_ms}ms");
        let path = self.kv_path(key, &query)?;
        // Consul extends the wait by up to a sixteenth.
        let timeout = wait + wait / 16 + self.timeout;
        let response = self.send(Method::GET, path, Bytes::new(), timeout).await?;
        Ok(KeyWatch {
            index: response.require_index()?,
            entry: self.first_entry(&response)?,
        })
    }

    /// Returns all keys that start with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn list_prefix(&self, prefix: &str) -> Result<Vec<KeyEntry>, StoreError> {
        let path = self.kv_path(prefix, "?recurse")?;
        let response = self.send(Method::GET, path, Bytes::new(), self.timeout);
        self.entries(&response.await?)
    }

    /// Writes a key if it was last modified at `index`, or if it doesn't exist and `index` is 0.
    /// Returns whether it was written.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request, or [`StoreError::ValueTooLarge`] before sending.
    /// The write may have taken effect unless [`StoreError::had_no_effect`] returns true.
    pub async fn write_key_cas(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        index: u64,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?cas={index}");
        self.write(key, &query, value.into()).await
    }

    /// Writes a key and locks it for a session, unless another session holds it. Returns whether
    /// the session holds the key.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StoreClient::write_key_cas`].
    pub async fn acquire_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        session: &str,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?acquire={session}");
        self.write(key, &query, value.into()).await
    }

    /// Writes a key and releases it, if the session holds it. Returns whether the session held it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StoreClient::write_key_cas`].
    pub async fn release_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        session: &str,
    ) -> Result<bool, StoreError> {
        let query = format_compact!("?release={session}");
        self.write(key, &query, value.into()).await
    }

    /// Deletes a key if it was last modified at `index`. Returns whether it was deleted.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn delete_key_cas(&self, key: &str, index: u64) -> Result<bool, StoreError> {
        let path = self.kv_path(key, &format_compact!("?cas={index}"))?;
        let response = self.send(Method::DELETE, path, Bytes::new(), self.timeout);
        parse_body(&response.await?.body)
    }

    /// Creates a session that ends when it isn't renewed within `ttl`, and returns its id.
    ///
    /// The lock delay is zero: what a holder of keys does is idempotent or protected by
    /// compare-and-swap, so the next holder needn't wait.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request. The store rejects a `ttl` below its own minimum,
    /// which is 10 s unless configured otherwise.
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
        let response = self.send(Method::PUT, path, body, self.timeout).await?;
        let created: CreatedSession = parse_body(&response.body)?;
        Ok(created.id)
    }

    /// Renews a session. Returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn renew_session(&self, session: &str) -> Result<bool, StoreError> {
        let path = format_compact!("/v1/session/renew/{session}");
        let response = self.send(Method::PUT, path, Bytes::new(), self.timeout);
        Ok(response.await?.exists)
    }

    /// Ends a session; its keys are treated as its [`SessionEnd`] says.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] of the request.
    pub async fn destroy_session(&self, session: &str) -> Result<(), StoreError> {
        let path = format_compact!("/v1/session/destroy/{session}");
        let response = self.send(Method::PUT, path, Bytes::new(), self.timeout);
        response.await.map(drop)
    }

    async fn write(&self, key: &str, query: &str, value: Bytes) -> Result<bool, StoreError> {
        check_len(key, value.len())?;
        let path = self.kv_path(key, query)?;
        let response = self.send(Method::PUT, path, value, self.timeout).await?;
        parse_body(&response.body)
    }

    async fn send(
        &self,
        method: Method,
        path: CompactString,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let request = StoreRequest {
            method,
            path,
            body,
            timeout,
        };
        request.send(self.address).await
    }

    fn kv_path(&self, key: &str, query: &str) -> Result<CompactString, StoreError> {
        let key = format_compact!("{}{key}", self.prefix);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
        ensure!(key.bytes().all(allowed), InvalidKeySnafu { key });
        Ok(format_compact!("/v1/kv/{key}{query}"))
    }

    fn first_entry(&self, response: &StoreResponse) -> Result<Option<KeyEntry>, StoreError> {
        let entries = self.entries(response)?;
        Ok(entries.into_iter().next())
    }

    /// Parses the entries of a response and strips the prefix of the deployment from their keys.
    fn entries(&self, response: &StoreResponse) -> Result<Vec<KeyEntry>, StoreError> {
        if !response.exists {
            return Ok(Vec::new());
        }
        let mut entries = KeyEntry::parse_all(&response.body)?;
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

/// Parses the version in an entry.
///
/// # Errors
///
/// Returns [`StoreError::MalformedVersion`] if the value isn't a version.
pub(crate) fn parse_version(entry: &KeyEntry) -> Result<ConfigVersion, StoreError> {
    let parsed = serde_json::from_slice(&entry.value);
    let key = entry.key.as_str();
    parsed.context(MalformedVersionSnafu { key })
}

/// Checks the length of a value against the limit of the store.
///
/// # Errors
///
/// Returns [`StoreError::ValueTooLarge`] if the value is longer.
pub(crate) fn check_len(key: &str, len: usize) -> Result<(), StoreError> {
    let limit = MAX_VALUE_LEN;
    ensure!(len <= limit, ValueTooLargeSnafu { key, len, limit });
    Ok(())
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).context(MalformedResponseSnafu)
}
