//! Edits of the tables.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use carobdrum_core::version::{
    PoolTable,
    RouteTable, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use rand::Rng;

/// An edit of the tables that is to be applied, built up by its methods.
///
/// The edit id identifies the edit: if it is applied again after an unknown outcome, it makes no
/// second version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit {
    pub(crate) base: u32,
    pub(crate) routes: RouteTable,
    pub(crate) pools: PoolTable,
    pub(crate) edit_id: CompactString,
    pub(crate) author: CompactString,
    pub(crate) comment: CompactString,
    pub(crate) edited_ms: u64,
}

impl TableEdit {
    /// Creates an edit with a new edit id and the current time.
    ///
    /// `base` is the number of the version that the author read, 0 if there was none.
    pub fn new(base: u32, routes: RouteTable, pools: PoolTable) -> TableEdit {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let edited_ms = since_epoch.map_or(0, |span| span.as_millis() as u64);
        TableEdit {
            base,
            routes,
            pools,
            edit_id: random_edit_id(),
            author: CompactString::default(),
            comment: CompactString::default(),
            edited_ms,
        }
    }

    /// Sets the name of the edit's author.
    pub fn author(mut self, author: impl Into<CompactString>) -> TableEdit {
        self.author = author.into();
        self
    }

    /// Sets the author's comment, such as the reason for the edit.
    pub fn comment(mut self, comment: impl Into<CompactString>) -> TableEdit {
        self.comment = comment.into();
        self
    }

    /// Sets the edit id, to apply an edit again whose outcome is unknown.
    pub fn edit_id(mut self, edit_id: impl Into<CompactString>) -> TableEdit {
        self.edit_id = edit_id.into();
        self
    }

    /// Sets the time of the edit, in milliseconds since the Unix epoch.
    pub fn edited_ms(mut self, edited_ms: u64) -> TableEdit {
        self.edited_ms = edited_ms;
        self
    }

    /// Returns the edit id, which is random unless it was set.
    pub fn id(&self) -> &CompactString {
        &self.edit_id
    }
}

/// Returns 16 random bytes in hexadecimal digits.
pub(crate) fn random_edit_id() -> CompactString {
    format_compact!("{:032x}", rand::rng().random::<u128>())
}
