//! Which fields a file may have.

/// What the value of a field may be.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A text.
    Text,
    /// A list of texts.
    TextList,
    /// A whole number in a range.
    Number {
        /// The smallest allowed number.
        min: u32,
        /// The largest allowed number.
        max: u32,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// An IPv4 address.
    Ip4,
    /// An IPv4 address and a port.
    Address4,
    /// An IPv4 or IPv6 address and a port.
    Address,
    /// A list of IPv4 addresses with ports.
    AddressList,
    /// A section with fields of its own.
    Section(&'static [FieldSchema]),
    /// Any number of sections.
    SectionList(&'static [FieldSchema]),
}

/// One field that a file or a section may have.
#[derive(Clone, Copy, Debug)]
pub struct FieldSchema {
    /// Name of the field.
    pub name: &'static str,
    /// What its value may be.
    pub kind: FieldKind,
    /// Whether it may not be left out.
    pub required: bool,
}

impl FieldSchema {
    /// Describes a field that may not be left out.
    pub const fn required(name: &'static str, kind: FieldKind) -> FieldSchema {
        FieldSchema {
            name,
            kind,
            required: true,
        }
    }

    /// Describes a field that may be left out.
    pub const fn optional(name: &'static str, kind: FieldKind) -> FieldSchema {
        FieldSchema {
            name,
            kind,
            required: false,
        }
    }
}
