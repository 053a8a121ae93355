//! Shape of the generated key tables.

/// To which whole number a fraction is rounded: the side on which nothing is promised that the fraction does not bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rounding {
    /// The next lower one.
    Down,
    /// The next higher one.
    Up,
}

/// What values a key takes.
#[derive(Clone, Copy, Debug)]
pub enum KeyKind {
    /// A whole number in a range, both ends included.
    Integer {
        /// Least value.
        minimum: u64,
        /// Greatest value.
        maximum: u64,
        /// How a fraction is rounded; none where it is refused.
        rounding: Option<Rounding>,
    },
    /// Any text.
    Text,
    /// An IP address with port.
    Address,
    /// A list of IP addresses with ports, not empty.
    Addresses,
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// One key.
#[derive(Clone, Copy, Debug)]
pub struct KeySpecification {
    /// Name; a unit is part of it.
    pub name: &'static str,
    /// Whether the file must state it.
    pub required: bool,
    /// Values it takes.
    pub kind: KeyKind,
}

/// One section.
#[derive(Clone, Copy, Debug)]
pub struct SectionSpecification {
    /// Name.
    pub name: &'static str,
    /// Whether it is a list of tables.
    pub repeated: bool,
    /// Keys.
    pub keys: &'static [KeySpecification],
}

/// One settings file.
#[derive(Clone, Copy, Debug)]
pub struct FileSpecification {
    /// Name of the kind of file.
    pub name: &'static str,
    /// Sections.
    pub sections: &'static [SectionSpecification],
}
