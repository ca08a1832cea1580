//! Client of the platform's key-value store.
//!
//! The store has Consul's HTTP API for keys and sessions. All keys are below
//! `carobdrum/<deployment>/`.
//!
//! The store of the users' platform has another API; its client is in `carobdrum-platform`.

mod apply_outcome;
mod conflict_report;
mod key_entry;
mod key_watch;
mod retry_plan;
mod session_end;
mod store_client;
mod store_error;
mod store_request;
mod stored_version;
mod table_changes;
mod table_edit;
mod undo_edit;
mod version_apply;
mod version_keys;
mod version_store;
mod version_watch;

pub use apply_outcome::ApplyOutcome;
pub use conflict_report::ConflictReport;
pub use key_entry::KeyEntry;
pub use key_watch::KeyWatch;
pub use retry_plan::RetryPlan;
pub use session_end::SessionEnd;
pub use store_client::StoreClient;
pub use store_error::StoreError;
pub use stored_version::StoredVersion;
pub use table_changes::TableChanges;
pub use table_edit::TableEdit;
pub use undo_edit::UndoEdit;
pub use version_watch::VersionWatch;
