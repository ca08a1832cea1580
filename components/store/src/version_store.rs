//! Versions of the tables in the store: reading, watching and editing them.

use std::time::Duration;

use carobdrum_core::version::ConfigVersion;

use crate::{
    store_error::NoSuchVersionSnafu,
    version_apply::VersionApply,
    version_keys::{
        history_key,
        parse_version,
        CURRENT_VERSION_KEY, //
    },
    ApplyOutcome,
    StoreClient,
    StoreError,
    StoredVersion,
    TableEdit,
    UndoEdit,
    VersionWatch, //
};

impl StoreClient {
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
}
