//! One fault in a file that operators write.

use std::fmt::{
    Display,
    Formatter,
    Write, //
};

use compact_str::CompactString;

/// Longest part of a fault that is shown, in characters, so that a fault stays readable.
const MAX_SHOWN: usize = 400;

/// One fault in a file: where it is, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line of the fault, from 1, where it has one.
    pub line: Option<u32>,
    /// Field of the fault, such as `pool[2].slots`; empty for the whole file or line.
    pub field: CompactString,
    /// What stands there.
    pub found: CompactString,
    /// What is allowed there.
    pub allowed: CompactString,
}

impl Display for FileFault {
    /// Writes the fault in one line, to follow the name of the file directly.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        formatter.write_str(": ")?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", OneLine(&self.field))?;
        }
        let found = OneLine(&self.found);
        let allowed = OneLine(&self.allowed);
        write!(formatter, "found {found}; allowed: {allowed}")
    }
}

/// Shows a text in one line: control characters are escaped, and a long text is cut.
#[derive(Clone, Copy, Debug)]
pub struct OneLine<'a>(
    /// The text.
    pub &'a str,
);

impl Display for OneLine<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (count, shown) in self.0.chars().enumerate() {
            if count == MAX_SHOWN {
                return formatter.write_char('…');
            }
            if breaks_line(shown) {
                write!(formatter, "{}", shown.escape_default())?;
            } else {
                formatter.write_char(shown)?;
            }
        }
        Ok(())
    }
}

/// Returns whether a terminal or an editor may show `shown` as more than a character of the line:
/// control characters, line separators and marks that change the direction of writing.
fn breaks_line(shown: char) -> bool {
    shown.is_control()
        || matches!(shown, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
}
