//! Display implementations and conversions of the identifier types.

use crate::generated::*;
use std::fmt;

macro_rules! name_type {
    ($($name:ident),+) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text)
            }
        }

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )+};
}

macro_rules! number_type {
    ($($name:ident),+) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl Copy for $name {}
    )+};
}

name_type!(
    RouterName,
    BackendName,
    GroupName,
    ZoneName,
    TenantName,
    ModelName,
    VersionLabel,
    AdapterName,
    PolicyName,
    OperatorName,
    ChangeId,
    ClaimKey,
    ServiceName,
    SoftwareVersion,
    InstanceId
);
number_type!(
    GroupId,
    MemberId,
    CallId,
    SlotId,
    Incarnation,
    ConfigurationRevision,
    PlacementRevision
);

macro_rules! copy_type {
    ($($name:ident),+) => {$(
        impl Copy for $name {}
    )+};
}

copy_type!(
    LogPosition,
    ObjectKind,
    OperatorRole,
    BackendKind,
    BackendState,
    EngineRole,
    CheckpointTier,
    ReplicaPhase,
    AdapterPhase,
    InstructionOperation,
    RouteKind,
    Urgency
);

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.index)
    }
}

impl Membership {
    /// Whether a member is part of the membership in any role.
    pub fn contains(&self, member: MemberId) -> bool {
        let voters = self.voters.iter().chain(&self.outgoing_voters);
        let mut members = voters.chain(&self.learners);
        members.any(|address| address.member == member)
    }
}

impl LogPosition {
    /// The position before the first entry.
    pub const ZERO: LogPosition = LogPosition { term: 0, index: 0 };
}

impl RequestFingerprint {
    /// Fingerprint of an unknown request, which is never quarantined.
    pub const UNKNOWN: RequestFingerprint = RequestFingerprint { high: 0, low: 0 };

    /// Parses the format written by [`fmt::Display`].
    pub fn from_hex(text: &str) -> Option<RequestFingerprint> {
        let whole = u128::from_str_radix(text, 16).ok()?;
        Some(RequestFingerprint {
            high: (whole >> 64) as u64,
            low: whole as u64,
        })
    }
}

impl Default for RequestFingerprint {
    fn default() -> Self {
        RequestFingerprint::UNKNOWN
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.high, self.low)
    }
}
