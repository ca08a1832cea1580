//! A key with its value.

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;
use snafu::ResultExt;

use crate::{
    store_error::{
        InvalidValueSnafu,
        MalformedResponseSnafu, //
    },
    StoreError, //
};

/// A key with its value, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Name of the key, without the prefix of the deployment.
    pub key: CompactString,
    /// Value of the key, decoded from base64.
    pub value: Bytes,
    /// Index of the last modification, for compare-and-swap and watches.
    pub index: u64,
    /// Id of the session that holds the key; `None` if no session does.
    pub session: Option<CompactString>,
}

/// An entry as Consul's API represents it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawEntry {
    key: CompactString,
    #[serde(default)]
    value: Option<CompactString>,
    modify_index: u64,
    #[serde(default)]
    session: Option<CompactString>,
}

impl KeyEntry {
    /// Parses the entries in the body of a response.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::MalformedResponse`] or [`StoreError::InvalidValue`].
    pub(crate) fn parse_all(body: &[u8]) -> Result<Vec<KeyEntry>, StoreError> {
        let raw: Vec<RawEntry> = serde_json::from_slice(body).context(MalformedResponseSnafu)?;
        raw.into_iter().map(KeyEntry::from_raw).collect()
    }

    fn from_raw(raw: RawEntry) -> Result<KeyEntry, StoreError> {
        let value = STANDARD.decode(raw.value.unwrap_or_default());
        let value = value.context(InvalidValueSnafu {
            key: raw.key.as_str(),
        })?;
        Ok(KeyEntry {
            key: raw.key,
            value: value.into(),
            index: raw.modify_index,
            session: raw.session,
        })
    }
}
