//! Schema of the fields that a file may have.

/// Which values a field may have.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A text.
    Text,
    /// A list of texts.
    TextList,
    /// A whole number in a range.
    Number {
        /// Smallest allowed number.
        min: u32,
        /// Largest allowed number.
        max: u32,
    },
    /// `true` or `false`.
    Boolean,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IPv4 address.
    Ip4,
    /// An IPv4 address and a port.
    Address4,
    /// An IPv4 or IPv6 address and a port.
    Address,
    /// A list of IPv4 addresses with ports.
    AddressList,
    /// A section with these fields.
    Section(&'static [FieldSchema]),
    /// Any number of sections with these fields.
    SectionList(&'static [FieldSchema]),
}

/// One field that a file or a section may have.
#[derive(Clone, Copy, Debug)]
pub struct FieldSchema {
    /// Name of the field.
    pub name: &'static str,
    /// Which values it may have.
    pub kind: FieldKind,
    /// Whether it must be present.
    pub required: bool,
}

impl FieldSchema {
    /// Describes a field that must be present.
    pub const fn required(name: &'static str, kind: FieldKind) -> FieldSchema {
        FieldSchema {
            name,
            kind,
            required: true,
        }
    }

    /// Describes a field that may be absent.
    pub const fn optional(name: &'static str, kind: FieldKind) -> FieldSchema {
        FieldSchema {
            name,
            kind,
            required: false,
        }
    }
}
