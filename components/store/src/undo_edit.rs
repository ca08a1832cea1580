//! Edits that restore the tables of an older version.

use compact_str::CompactString;

use crate::table_edit::random_edit_id;

/// An edit that restores the tables of an older version, built up by its methods.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UndoEdit {
    pub(crate) base: u32,
    pub(crate) to_number: u32,
    pub(crate) edit_id: CompactString,
    pub(crate) author: CompactString,
    pub(crate) comment: CompactString,
}

impl UndoEdit {
    /// Creates an edit that restores the tables of version `to_number`, with a new edit id.
    ///
    /// `base` is the number of the version that the author read; if another one is in force when
    /// the edit is applied, the edit is refused.
    pub fn new(base: u32, to_number: u32) -> UndoEdit {
        UndoEdit {
            base,
            to_number,
            edit_id: random_edit_id(),
            author: CompactString::default(),
            comment: CompactString::default(),
        }
    }

    /// Sets the name of the edit's author.
    pub fn author(mut self, author: impl Into<CompactString>) -> UndoEdit {
        self.author = author.into();
        self
    }

    /// Sets the author's comment, such as the reason for the edit.
    pub fn comment(mut self, comment: impl Into<CompactString>) -> UndoEdit {
        self.comment = comment.into();
        self
    }

    /// Sets the edit id, to apply an edit again whose outcome is unknown.
    pub fn edit_id(mut self, edit_id: impl Into<CompactString>) -> UndoEdit {
        self.edit_id = edit_id.into();
        self
    }
}
