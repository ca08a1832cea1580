//! Patterns for names of backend servers, in which `*` matches any number of characters.

use crate::name_rule::{
    is_name_byte,
    MAX_NAME_LEN, //
};

/// Character that matches any number of characters, including none.
const WILDCARD: u8 = b'*';

/// Returns whether `pattern` is a valid pattern.
pub(super) fn is_pattern(pattern: &str) -> bool {
    let is_allowed = |byte: u8| is_name_byte(byte) || byte == WILDCARD;
    !pattern.is_empty() && pattern.len() <= MAX_NAME_LEN && pattern.bytes().all(is_allowed)
}

/// Returns whether `name` matches `pattern`.
///
/// Backtracks only to the latest `*`, so the time grows with the product of both lengths and not
/// exponentially with the number of `*`.
pub(super) fn pattern_matches(pattern: &str, name: &str) -> bool {
    let (pattern, name) = (pattern.as_bytes(), name.as_bytes());
    let (mut pattern_at, mut name_at) = (0, 0);
    let mut retry: Option<(usize, usize)> = None;
    while name_at < name.len() {
        if pattern.get(pattern_at) == Some(&WILDCARD) {
            pattern_at += 1;
            retry = Some((pattern_at, name_at));
        } else if pattern.get(pattern_at) == Some(&name[name_at]) {
            pattern_at += 1;
            name_at += 1;
        } else if let Some((after, start)) = retry {
            pattern_at = after;
            name_at = start + 1;
            retry = Some((after, name_at));
        } else {
            return false;
        }
    }
    pattern[pattern_at..].iter().all(|&byte| byte == WILDCARD)
}

/// Returns whether any name matches both patterns.
pub(super) fn patterns_intersect(left: &str, right: &str) -> bool {
    let (left, right) = (left.as_bytes(), right.as_bytes());
    // Most patterns of two pools differ before the first `*`, so they are told apart without the
    // table.
    let heads = left.iter().zip(right);
    for (l, r) in heads.take_while(|(&l, &r)| l != WILDCARD && r != WILDCARD) {
        if l != r {
            return false;
        }
    }
    suffixes_intersect(left, right)
}

/// Decides by dynamic programming, one row for each position in `left`: `row[j]` is whether any
/// text matches both the rest of `left` from that position and the rest of `right` from `j`.
fn suffixes_intersect(left: &[u8], right: &[u8]) -> bool {
    let width = right.len();
    let mut below = vec![false; width + 1];
    below[width] = true;
    for j in (0..width).rev() {
        below[j] = right[j] == WILDCARD && below[j + 1];
    }
    for &l in left.iter().rev() {
        let mut row = vec![false; width + 1];
        row[width] = l == WILDCARD && below[width];
        for j in (0..width).rev() {
            row[j] = if l == WILDCARD || right[j] == WILDCARD {
                // A `*` ends here, or consumes the next character or `*` of the other pattern.
                below[j] || row[j + 1]
            } else {
                l == right[j] && below[j + 1]
            };
        }
        below = row;
    }
    below[0]
}
