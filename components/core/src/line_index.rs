//! Line numbers by byte offset.

/// Offsets of the line breaks of a text, to find the line of an offset.
#[derive(Debug)]
pub(crate) struct LineIndex {
    line_breaks: Vec<usize>,
}

impl LineIndex {
    /// Finds the line breaks of `text`.
    pub(crate) fn new(text: &[u8]) -> LineIndex {
        let positions = text.iter().enumerate();
        let line_breaks = positions.filter(|(_, &byte)| byte == b'\n');
        LineIndex {
            line_breaks: line_breaks.map(|(offset, _)| offset).collect(),
        }
    }

    /// Returns the line of the byte at `offset`, from 1.
    pub(crate) fn line_at(&self, offset: usize) -> u32 {
        self.line_breaks.partition_point(|&at| at < offset) as u32 + 1
    }
}
