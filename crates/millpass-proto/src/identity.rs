//! Display and conversions of the identity and name types.

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
            /// The name as text.
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
    InstanceId
);
number_type!(
    GroupId,
    MemberId,
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

impl LogPosition {
    /// The position before the first entry.
    pub const ZERO: LogPosition = LogPosition { term: 0, index: 0 };
}
