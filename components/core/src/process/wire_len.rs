//! Encoded lengths of Protocol Buffers fields, in bytes.

/// Returns the length of a varint field with a one-byte tag; 0 for the value 0, which isn't
/// encoded.
pub(super) fn varint_len(value: u64) -> usize {
    if value == 0 {
        return 0;
    }
    1 + raw_varint_len(value)
}

/// Returns the length of a varint without a tag.
pub(super) fn raw_varint_len(value: u64) -> usize {
    let bits = 64 - (value | 1).leading_zeros() as usize;
    bits.div_ceil(7)
}

/// Returns the length of a string field with a one-byte tag; 0 for the empty string, which isn't
/// encoded.
pub(super) fn text_len(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    1 + raw_varint_len(text.len() as u64) + text.len()
}

/// Returns the length of an embedded message of `len` bytes with its tag and length prefix.
pub(super) fn nested_len(len: usize) -> usize {
    1 + raw_varint_len(len as u64) + len
}
