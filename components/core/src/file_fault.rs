//! Faults in files that operators write.

use std::fmt::{
    Display,
    Formatter,
    Write, //
};

use compact_str::CompactString;

/// Longest part of a fault that is shown, in characters, so that the fault stays readable.
const MAX_SHOWN_CHARS: usize = 400;

/// One fault in a file: where it is, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line of the fault, from 1; `None` if it concerns the whole file.
    pub line: Option<u32>,
    /// Field with the fault, such as `pool[2].slots`; empty if it concerns the whole file or line.
    pub field: CompactString,
    /// What the field contains.
    pub found: CompactString,
    /// What the field may contain.
    pub allowed: CompactString,
}

impl Display for FileFault {
    /// Writes the fault in one line, which is to follow the name of the file directly.
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

/// Displays a text in one line: control characters are escaped, and a long text is truncated.
#[derive(Clone, Copy, Debug)]
pub struct OneLine<'a>(
    /// Text of any length and content.
    pub &'a str,
);

impl Display for OneLine<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (count, character) in self.0.chars().enumerate() {
            if count == MAX_SHOWN_CHARS {
                return formatter.write_char('…');
            }
            if needs_escape(character) {
                write!(formatter, "{}", character.escape_default())?;
            } else {
                formatter.write_char(character)?;
            }
        }
        Ok(())
    }
}

/// Returns whether `character` may do more than appear in the line of a terminal or an editor:
/// control characters, line separators and marks that change the direction of writing.
fn needs_escape(character: char) -> bool {
    character.is_control()
        || matches!(character, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
}
