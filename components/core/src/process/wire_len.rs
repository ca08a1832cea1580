//! Encoded lengths of protocol-buffer fields.

/// Returns the length of a field with a varint value and a one-byte tag; zero is left out.
pub(super) fn varint_len(value: u64) -> usize {
    if value == 0 {
        return 0;
    }
    1 + raw_varint_len(value)
}

/// Returns the length of a varint without tag.
pub(super) fn raw_varint_len(value: u64) -> usize {
    let bits = 64 - (value | 1).leading_zeros() as usize;
    bits.div_ceil(7)
}

/// Returns the length of a text field with a one-byte tag; the empty text is left out.
pub(super) fn text_len(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    1 + raw_varint_len(text.len() as u64) + text.len()
}

/// Returns the length of an embedded message of `len` bytes with its tag.
pub(super) fn nested_len(len: usize) -> usize {
    1 + raw_varint_len(len as u64) + len
}
