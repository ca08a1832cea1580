//! Client of the store.

mod sessions;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http::Method;
use serde::de::DeserializeOwned;
use snafu::{
    ensure,
    ResultExt, //
};

use crate::{
    store_error::{
        InvalidKeySnafu,
        MalformedResponseSnafu,
        ValueTooLargeSnafu, //
    },
    store_request::{
        StoreRequest, //
        StoreResponse,
    },
    KeyEntry,
    KeyWatch,
    RetryPlan,
    StoreError, //
};

/// Longest value, in bytes; the platform states a limit of 1 MB.
const MAX_VALUE_LEN: usize = 1_000_000;

/// Time limit of a request. A healthy store responds within milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that the response to a watch may take beyond the watch's wait.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// Most retries of an edit. Their delays add up to at most 2.6 s, after which the operator decides
/// how to go on.
const APPLY_RETRIES: u32 = 6;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

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
        let timeout = wait + wait / 16 + self.timeout.min(WATCH_SLACK);
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
