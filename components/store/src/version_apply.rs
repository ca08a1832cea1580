//! Application of an edit to the tables in the store.

use bytes::Bytes;
use carobdrum_core::version::{
    ConfigVersion,
    TableError, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use snafu::{
    ensure,
    IntoError,
    ResultExt, //
};

use crate::{
    store_client::check_len,
    store_error::{
        ContendedSnafu,
        HistoryMismatchSnafu,
        InvalidTablesSnafu, //
        MalformedVersionSnafu,
        OutcomeUnknownSnafu,
    },
    version_keys::{
        history_key,
        parse_version,
        CURRENT_VERSION_KEY, //
    },
    ApplyOutcome,
    ConflictReport,
    KeyEntry,
    StoreClient,
    StoreError,
    TableChanges,
    TableEdit, //
};

/// Application of one edit: attempts until the outcome is known or no retry is left.
pub(crate) struct VersionApply<'a> {
    client: &'a StoreClient,
    edit: TableEdit,
    /// Whether an attempt sent a write whose outcome is unknown.
    in_doubt: bool,
}

impl VersionApply<'_> {
    pub(crate) fn new(client: &StoreClient, edit: TableEdit) -> VersionApply<'_> {
        VersionApply {
            client,
            edit,
            in_doubt: false,
        }
    }

    /// Attempts the edit until its outcome is known or no retry is left.
    pub(crate) async fn run(mut self) -> Result<ApplyOutcome, StoreError> {
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let mut plan = self.client.retry().clone();
        loop {
            let error = match self.attempt().await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            let retryable = error.is_retryable();
            let Some(delay) = retryable.then(|| plan.next_delay(&mut rng)).flatten() else {
                return Err(self.final_error(error));
            };
            tracing::warn!(
                edit_id = %self.edit.edit_id, %error, ?delay,
                "applying the edit failed, retrying"
            );
            tokio::time::sleep(delay).await;
        }
    }

    fn final_error(&self, error: StoreError) -> StoreError {
        if !self.in_doubt {
            return error;
        }
        let edit_id = self.edit.edit_id.clone();
        let source = Box::new(error);
        OutcomeUnknownSnafu { edit_id }.into_error(source)
    }

    /// Makes one attempt, which first checks whether an earlier one took effect.
    async fn attempt(&mut self) -> Result<ApplyOutcome, StoreError> {
        let entry = self.client.read_key(CURRENT_VERSION_KEY).await?;
        let current = entry.as_ref().map(parse_version).transpose()?;
        if let Some(outcome) = self.known_outcome(current.as_ref()).await? {
            return Ok(outcome);
        }
        let version = self.successor(current.as_ref())?;
        let document = encode(&version)?;
        if let (Some(entry), Some(current)) = (&entry, &current) {
            self.archive(entry, current.number).await?;
        }
        let index = entry.map_or(0, |entry| entry.index);
        self.replace(document, index).await?;
        Ok(ApplyOutcome::Applied(Box::new(version)))
    }

    /// Returns the outcome if it is known: the edit took effect in an earlier attempt, or another
    /// version than its base is in force.
    async fn known_outcome(
        &self,
        current: Option<&ConfigVersion>,
    ) -> Result<Option<ApplyOutcome>, StoreError> {
        let in_force = current.map_or(0, |version| version.number);
        let own = |version: &&ConfigVersion| version.edit_id == self.edit.edit_id;
        if let Some(version) = current.filter(own) {
            return Ok(Some(ApplyOutcome::Applied(Box::new(version.clone()))));
        }
        if in_force == self.edit.base {
            return Ok(None);
        }
        // If the edit took effect, its version has the number after its base, and was copied to the
        // history before another version replaced it.
        let number = self.edit.base.saturating_add(1);
        let next = self.client.read_history(number).await?;
        if let Some(version) = next.as_ref().filter(own) {
            return Ok(Some(ApplyOutcome::Applied(Box::new(version.clone()))));
        }
        let report = self.report(current).await?;
        Ok(Some(ApplyOutcome::Refused(report)))
    }

    async fn report(&self, current: Option<&ConfigVersion>) -> Result<ConflictReport, StoreError> {
        let current = current.cloned().unwrap_or_default();
        let base = match self.edit.base {
            0 => Some(ConfigVersion::default()),
            number => self.client.read_history(number).await?,
        };
        let changes = base.map(|base| TableChanges::between(&base, &current));
        Ok(ConflictReport {
            base: self.edit.base,
            in_force: current.number,
            author: current.author,
            comment: current.comment,
            edited_ms: current.edited_ms,
            changes,
        })
    }

    fn successor(&self, current: Option<&ConfigVersion>) -> Result<ConfigVersion, StoreError> {
        let first = ConfigVersion::default();
        let current = current.unwrap_or(&first);
        let limit = u32::MAX;
        if current.number == limit {
            let name = CURRENT_VERSION_KEY.into();
            let source = TableError::NumbersExhausted { name, limit };
            return Err(StoreError::InvalidTables { source });
        }
        let edit = &self.edit;
        let version = current.successor(edit.routes.clone(), edit.pools.clone());
        let mut version = version.context(InvalidTablesSnafu)?;
        version.edit_id = edit.edit_id.clone();
        version.author = edit.author.clone();
        version.comment = edit.comment.clone();
        version.edited_ms = edit.edited_ms;
        Ok(version)
    }

    /// Copies the version in force to the history, byte for byte.
    ///
    /// The write only creates the key, and an existing copy must be equal. A repeat after a lost
    /// response, or by another author, therefore changes nothing.
    async fn archive(&self, entry: &KeyEntry, number: u32) -> Result<(), StoreError> {
        let key = history_key(number);
        let value = entry.value.clone();
        if self.client.write_key_cas(&key, value, 0).await? {
            return Ok(());
        }
        let kept = self.client.read_key(&key).await?;
        let equal = kept.is_some_and(|kept| kept.value == entry.value);
        ensure!(equal, HistoryMismatchSnafu { number });
        Ok(())
    }

    async fn replace(&mut self, document: Bytes, index: u64) -> Result<(), StoreError> {
        let written = self
            .client
            .write_key_cas(CURRENT_VERSION_KEY, document, index)
            .await;
        if let Err(error) = &written {
            self.in_doubt |= !error.had_no_effect();
        }
        // If the compare-and-swap was refused, the next attempt reads the version now in force.
        ensure!(
            written?,
            ContendedSnafu {
                key: CURRENT_VERSION_KEY
            }
        );
        Ok(())
    }
}

/// Encodes a version and checks its length before anything is sent.
fn encode(version: &ConfigVersion) -> Result<Bytes, StoreError> {
    let document = serde_json::to_vec(version);
    let document = document.context(MalformedVersionSnafu {
        key: CURRENT_VERSION_KEY,
    })?;
    check_len(CURRENT_VERSION_KEY, document.len())?;
    Ok(document.into())
}
