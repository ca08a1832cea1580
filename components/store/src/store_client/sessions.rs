//! Sessions, which hold keys under a lease.

use std::time::Duration;

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http::Method;
use serde::Deserialize;
use serde_json::json;

use super::{
    parse_body,
    StoreClient, //
};
use crate::{
    SessionEnd,
    StoreError, //
};

/// Body of the response to the creation of a session.
#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: CompactString,
}

impl StoreClient {
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
}
