//! Lines of a text by offset.

/// Offsets of the line breaks of a text, for finding the line of an offset.
#[derive(Debug)]
pub(crate) struct LineIndex {
    breaks: Vec<usize>,
}

impl LineIndex {
    /// Records the line breaks of `text`.
    pub(crate) fn new(text: &[u8]) -> LineIndex {
        let positions = text.iter().enumerate();
        let breaks = positions.filter(|(_, &byte)| byte == b'\n');
        LineIndex {
            breaks: breaks.map(|(offset, _)| offset).collect(),
        }
    }

    /// Returns the line, from 1, of the byte at `offset`.
    pub(crate) fn line_at(&self, offset: usize) -> u32 {
        self.breaks.partition_point(|&at| at < offset) as u32 + 1
    }
}
