//! Types of the generated key tables.

/// Direction in which a fraction is rounded; for each key the conservative one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rounding {
    /// To the next lower integer.
    Down,
    /// To the next higher integer.
    Up,
}

/// Values that a key accepts.
#[derive(Clone, Copy, Debug)]
pub enum KeyKind {
    /// An integer in an inclusive range.
    Integer {
        /// Smallest value.
        minimum: u64,
        /// Largest value.
        maximum: u64,
        /// Rounding of fractions; `None` if they are rejected.
        rounding: Option<Rounding>,
    },
    /// Any text.
    Text,
    /// An IP address with port.
    Address,
    /// A non-empty list of IP addresses with ports.
    Addresses,
    /// One of the listed values.
    Choice(&'static [&'static str]),
}

/// A settings key.
#[derive(Clone, Copy, Debug)]
pub struct KeySpecification {
    /// Key name, including its unit.
    pub name: &'static str,
    /// Whether the key is required.
    pub required: bool,
    /// Accepted values.
    pub kind: KeyKind,
}

/// A section of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct SectionSpecification {
    /// Section name.
    pub name: &'static str,
    /// Whether the section is an array of tables.
    pub repeated: bool,
    /// Keys of the section.
    pub keys: &'static [KeySpecification],
}

/// A kind of settings file.
#[derive(Clone, Copy, Debug)]
pub struct FileSpecification {
    /// Name of the kind.
    pub name: &'static str,
    /// Sections of the file.
    pub sections: &'static [SectionSpecification],
}
