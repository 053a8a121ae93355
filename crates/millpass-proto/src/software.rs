//! What instances state of the version of their software.

use crate::generated::{InstanceRecord, SoftwareStatement, SoftwareVersion};

#[expect(clippy::derivable_impls, reason = "the type is generated")]
impl Default for SoftwareStatement {
    fn default() -> Self {
        SoftwareStatement::Unstated
    }
}

impl SoftwareStatement {
    /// Creates a statement of this version; an empty one states nothing.
    pub fn of(version: &str) -> Self {
        match version {
            "" => SoftwareStatement::Unstated,
            version => SoftwareStatement::Stated(version.into()),
        }
    }

    /// Returns the version if it is known.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            SoftwareStatement::Stated(version) => Some(version),
            SoftwareStatement::Unstated | SoftwareStatement::Contradicted => None,
        }
    }

    /// Returns the version for a log line: `unstated` or `contradicted` if it is not known.
    pub fn as_str(&self) -> &str {
        match self {
            SoftwareStatement::Stated(version) => version.as_str(),
            SoftwareStatement::Unstated => "unstated",
            SoftwareStatement::Contradicted => "contradicted",
        }
    }

    /// Combines two statements of one incarnation, which runs one version only.
    fn combine(&self, other: &SoftwareStatement) -> SoftwareStatement {
        use SoftwareStatement::{Contradicted, Stated, Unstated};
        match (self, other) {
            (Contradicted, _) | (_, Contradicted) => Contradicted,
            (Unstated, known) | (known, Unstated) => known.clone(),
            (Stated(one), Stated(another)) if one == another => self.clone(),
            (Stated(_), Stated(_)) => Contradicted,
        }
    }
}

impl InstanceRecord {
    /// Keeps what an earlier record of the same incarnation holds for good: a drain is never revoked,
    /// and the software does not change.
    pub fn retain_from(&mut self, earlier: &InstanceRecord) {
        self.draining |= earlier.draining;
        self.software = earlier.software.combine(&self.software);
    }
}

impl From<Option<SoftwareVersion>> for SoftwareStatement {
    fn from(version: Option<SoftwareVersion>) -> Self {
        version.map_or(SoftwareStatement::Unstated, SoftwareStatement::Stated)
    }
}
