//! Patterns for names of backend servers, in which `*` stands for any run of characters.

use crate::name_rule::{
    is_name_byte,
    MAX_NAME_LEN, //
};

/// The character that stands for any run of characters.
const ANY_RUN: u8 = b'*';

/// Returns whether `pattern` is well-formed.
pub(super) fn is_pattern(pattern: &str) -> bool {
    let good = |byte: u8| is_name_byte(byte) || byte == ANY_RUN;
    !pattern.is_empty() && pattern.len() <= MAX_NAME_LEN && pattern.bytes().all(good)
}

/// Returns whether `name` matches `pattern`.
///
/// Only the last `*` passed is ever tried again, so the time grows with the product of both
/// lengths and not exponentially with the number of `*`.
pub(super) fn pattern_matches(pattern: &str, name: &str) -> bool {
    let (pattern, name) = (pattern.as_bytes(), name.as_bytes());
    let (mut at, mut seen) = (0, 0);
    let mut retry: Option<(usize, usize)> = None;
    while seen < name.len() {
        if pattern.get(at) == Some(&ANY_RUN) {
            at += 1;
            retry = Some((at, seen));
        } else if pattern.get(at) == Some(&name[seen]) {
            at += 1;
            seen += 1;
        } else if let Some((after, start)) = retry {
            at = after;
            seen = start + 1;
            retry = Some((after, seen));
        } else {
            return false;
        }
    }
    pattern[at..].iter().all(|&byte| byte == ANY_RUN)
}

/// Returns whether some name matches both patterns.
pub(super) fn patterns_intersect(left: &str, right: &str) -> bool {
    let (left, right) = (left.as_bytes(), right.as_bytes());
    // Most patterns of two pools differ before the first `*`, which decides without the table.
    let heads = left.iter().zip(right);
    for (l, r) in heads.take_while(|(&l, &r)| l != ANY_RUN && r != ANY_RUN) {
        if l != r {
            return false;
        }
    }
    suffixes_intersect(left, right)
}

/// Fills a table by row: `row[j]` tells whether some text matches both the rest of `left` from the
/// row's position and the rest of `right` from `j`.
fn suffixes_intersect(left: &[u8], right: &[u8]) -> bool {
    let width = right.len();
    let mut below = vec![false; width + 1];
    below[width] = true;
    for j in (0..width).rev() {
        below[j] = right[j] == ANY_RUN && below[j + 1];
    }
    for &l in left.iter().rev() {
        let mut row = vec![false; width + 1];
        row[width] = l == ANY_RUN && below[width];
        for j in (0..width).rev() {
            row[j] = if l == ANY_RUN || right[j] == ANY_RUN {
                // A `*` ends here, or takes the next character or `*` of the other pattern.
                below[j] || row[j + 1]
            } else {
                l == right[j] && below[j + 1]
            };
        }
        below = row;
    }
    below[0]
}
