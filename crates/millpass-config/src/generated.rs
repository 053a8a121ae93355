//! Settings types. Generated from `schema/settings.yaml` by `cargo xtask generate`; do not edit.

use crate::specification::{
    FileSpecification, KeyKind, KeySpecification, SectionSpecification,
};
use serde::{Deserialize, Serialize};
/// Who this member is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlMemberSection {
    /// Consensus group; the same for all members and routers of a deployment.
    pub group: u64,
    /// Zone this member runs in.
    pub zone: String,
    /// Address for members and routers. Port 0 picks a free one.
    pub peer_listen: String,
    /// Address that others reach `peer_listen` at, where it differs (a relay); empty for the same.
    pub peer_address: String,
    /// Address of the administration API and metrics.
    pub administration_listen: String,
    /// Folder for log, snapshots and identity. Only one process may use it.
    pub data_folder: String,
    /// BLAKE3 hash (hex) of a key that counts as administrator while no operator account exists.
    pub bootstrap_key_hash: String,
}
impl Default for ControlMemberSection {
    fn default() -> Self {
        Self {
            group: 1u64,
            zone: "".to_owned(),
            peer_listen: "127.0.0.1:7100".to_owned(),
            peer_address: "".to_owned(),
            administration_listen: "127.0.0.1:7101".to_owned(),
            data_folder: "".to_owned(),
            bootstrap_key_hash: "".to_owned(),
        }
    }
}
/// The initial members, the same list in the same order on each; a member that joins later needs at least one that lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlMembersSection {
    /// Zone of the member.
    pub zone: String,
    /// Address others reach it at (IP:port).
    pub peer_address: String,
    /// Address of its administration API (IP:port).
    pub administration_address: String,
}
impl Default for ControlMembersSection {
    fn default() -> Self {
        Self {
            zone: "".to_owned(),
            peer_address: "".to_owned(),
            administration_address: "".to_owned(),
        }
    }
}
/// Timing of the control group. The lease must be shorter than the election timeout by more than clocks drift.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlConsensusSection {
    /// Shortest time without a leader before a member asks for votes.
    pub election_timeout_ms: u64,
    /// Time between heartbeats of the leader.
    pub heartbeat_ms: u64,
    /// Time the leader may act alone after a heartbeat that a quorum acknowledged.
    pub lease_ms: u64,
    /// Most log entries in one message.
    pub maximum_append_entries: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: u64,
}
impl Default for ControlConsensusSection {
    fn default() -> Self {
        Self {
            election_timeout_ms: 800u64,
            heartbeat_ms: 100u64,
            lease_ms: 600u64,
            maximum_append_entries: 256u64,
            snapshot_entries: 20000u64,
            snapshot_chunk_bytes: 262144u64,
        }
    }
}
/// Leases given to routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlRoutersSection {
    /// Time a router may use its catalog and routes after a report that was answered. Bounds how long a leaving back end gets new work and how long a cut-off router serves.
    pub lease_ms: u64,
}
impl Default for ControlRoutersSection {
    fn default() -> Self {
        Self { lease_ms: 3000u64 }
    }
}
/// Which models are loaded, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSchedulingSection {
    /// Time between scheduling rounds.
    pub interval_ms: u64,
    /// Weight of a second of cold start.
    pub cold_start_weight: u64,
    /// Weight of an accelerator second spent loaded and idle.
    pub idle_weight: u64,
    /// How long an idle replica stays loaded.
    pub keep_alive: String,
    /// Time for `keep_alive = "fixed"`.
    pub fixed_keep_alive_ms: u64,
}
impl Default for ControlSchedulingSection {
    fn default() -> Self {
        Self {
            interval_ms: 50u64,
            cold_start_weight: 300u64,
            idle_weight: 1u64,
            keep_alive: "adaptive".to_owned(),
            fixed_keep_alive_ms: 600000u64,
        }
    }
}
/// What the weight store allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlStoreSection {
    /// Loads that may start a second.
    pub loads_per_second: u64,
    /// Loads at once at full speed.
    pub concurrent_loads: u64,
    /// Speed of one load, to estimate waits.
    pub bytes_per_second: u64,
}
impl Default for ControlStoreSection {
    fn default() -> Self {
        Self {
            loads_per_second: 3u64,
            concurrent_loads: 6u64,
            bytes_per_second: 2000000000u64,
        }
    }
}
/// Requests that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlClaimsSection {
    /// How long a key and its answer are kept; an older key is refused.
    pub retention_ms: u64,
}
impl Default for ControlClaimsSection {
    fn default() -> Self {
        Self { retention_ms: 86400000u64 }
    }
}
/// Replacing what is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlRepairSection {
    /// Silence after which a member is replaced by a waiting one.
    pub member_replacement_delay_ms: u64,
    /// Time a machine must be missing from the platform's list before its memory counts as gone.
    pub machine_gone_delay_ms: u64,
}
impl Default for ControlRepairSection {
    fn default() -> Self {
        Self {
            member_replacement_delay_ms: 30000u64,
            machine_gone_delay_ms: 10000u64,
        }
    }
}
/// The platform's list of machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlPlatformSection {
    /// Where the list is read.
    pub address: String,
}
impl Default for ControlPlatformSection {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7300".to_owned(),
        }
    }
}
/// Logs: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlLogSection {
    /// Least severe level written.
    pub level: String,
    /// File to append to; empty for standard error.
    pub file: String,
}
impl Default for ControlLogSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            file: "".to_owned(),
        }
    }
}
/// Settings of a control member (`millpass control`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Who this member is and where it listens.
    pub member: ControlMemberSection,
    /// The initial members, the same list in the same order on each; a member that joins later needs at least one that lives.
    pub members: Vec<ControlMembersSection>,
    /// Timing of the control group. The lease must be shorter than the election timeout by more than clocks drift.
    pub consensus: ControlConsensusSection,
    /// Leases given to routers.
    pub routers: ControlRoutersSection,
    /// Which models are loaded, and for how long.
    pub scheduling: ControlSchedulingSection,
    /// What the weight store allows.
    pub store: ControlStoreSection,
    /// Requests that may not be repeated.
    pub claims: ControlClaimsSection,
    /// Replacing what is lost.
    pub repair: ControlRepairSection,
    /// The platform's list of machines.
    pub platform: ControlPlatformSection,
    /// Logs: one line of key=value pairs per event.
    pub log: ControlLogSection,
}
/// Keys of the `control` settings file.
pub const CONTROL_FILE: FileSpecification = FileSpecification {
    name: "control",
    sections: &[
        SectionSpecification {
            name: "member",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "group",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 4294967295u64,
                    },
                },
                KeySpecification {
                    name: "zone",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "peer_listen",
                    required: false,
                    kind: KeyKind::Address,
                },
                KeySpecification {
                    name: "peer_address",
                    required: false,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "administration_listen",
                    required: false,
                    kind: KeyKind::Address,
                },
                KeySpecification {
                    name: "data_folder",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "bootstrap_key_hash",
                    required: false,
                    kind: KeyKind::Text,
                },
            ],
        },
        SectionSpecification {
            name: "members",
            repeated: true,
            keys: &[
                KeySpecification {
                    name: "zone",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "peer_address",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "administration_address",
                    required: true,
                    kind: KeyKind::Text,
                },
            ],
        },
        SectionSpecification {
            name: "consensus",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "election_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 50u64,
                        maximum: 60000u64,
                    },
                },
                KeySpecification {
                    name: "heartbeat_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 5u64,
                        maximum: 10000u64,
                    },
                },
                KeySpecification {
                    name: "lease_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 50000u64,
                    },
                },
                KeySpecification {
                    name: "maximum_append_entries",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000u64,
                    },
                },
                KeySpecification {
                    name: "snapshot_entries",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 10000000u64,
                    },
                },
                KeySpecification {
                    name: "snapshot_chunk_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1024u64,
                        maximum: 8388608u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "routers",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "lease_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 200u64,
                        maximum: 60000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "scheduling",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 5u64,
                        maximum: 10000u64,
                    },
                },
                KeySpecification {
                    name: "cold_start_weight",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000u64,
                    },
                },
                KeySpecification {
                    name: "idle_weight",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000u64,
                    },
                },
                KeySpecification {
                    name: "keep_alive",
                    required: false,
                    kind: KeyKind::Choice(
                        &["adaptive", "fixed", "least-recently-used", "always"],
                    ),
                },
                KeySpecification {
                    name: "fixed_keep_alive_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 86400000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "store",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "loads_per_second",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000u64,
                    },
                },
                KeySpecification {
                    name: "concurrent_loads",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000u64,
                    },
                },
                KeySpecification {
                    name: "bytes_per_second",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1000u64,
                        maximum: 1000000000000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "claims",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "retention_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1000u64,
                        maximum: 2592000000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "repair",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "member_replacement_delay_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1000u64,
                        maximum: 86400000u64,
                    },
                },
                KeySpecification {
                    name: "machine_gone_delay_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "platform",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "address",
                    required: false,
                    kind: KeyKind::Address,
                },
            ],
        },
        SectionSpecification {
            name: "log",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "level",
                    required: false,
                    kind: KeyKind::Choice(&["off", "error", "warn", "info", "debug"]),
                },
                KeySpecification {
                    name: "file",
                    required: false,
                    kind: KeyKind::Text,
                },
            ],
        },
    ],
};
/// Who this router is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterRouterSection {
    /// Name, unique in the deployment.
    pub name: String,
    /// Consensus group of the control members.
    pub group: u64,
    /// Zone it runs in; back ends of the zone are preferred.
    pub zone: String,
    /// Address of the caller API.
    pub listen: String,
    /// Address of metrics, health and `explain`.
    pub metrics_listen: String,
}
impl Default for RouterRouterSection {
    fn default() -> Self {
        Self {
            name: "".to_owned(),
            group: 1u64,
            zone: "".to_owned(),
            listen: "127.0.0.1:7200".to_owned(),
            metrics_listen: "127.0.0.1:7201".to_owned(),
        }
    }
}
/// The control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterControlSection {
    /// Peer addresses of control members (IP:port).
    pub members: Vec<String>,
}
impl Default for RouterControlSection {
    fn default() -> Self {
        Self { members: Vec::new() }
    }
}
/// Limits towards callers. Each refusal names its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimitsSection {
    /// Open connections.
    pub maximum_connections: u64,
    /// Size of a request body.
    pub maximum_body_bytes: u64,
    /// Time to send a header.
    pub header_timeout_ms: u64,
    /// Time to send a body.
    pub body_timeout_ms: u64,
    /// Deadline of a request that states none.
    pub default_deadline_ms: u64,
    /// Longest deadline a request may state.
    pub maximum_deadline_ms: u64,
    /// Requests waiting for a replica.
    pub maximum_waiting: u64,
}
impl Default for RouterLimitsSection {
    fn default() -> Self {
        Self {
            maximum_connections: 8192u64,
            maximum_body_bytes: 4194304u64,
            header_timeout_ms: 10000u64,
            body_timeout_ms: 30000u64,
            default_deadline_ms: 30000u64,
            maximum_deadline_ms: 600000u64,
            maximum_waiting: 10000u64,
        }
    }
}
/// Attempts at back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterRetriesSection {
    /// Attempts of one request, the first included.
    pub maximum_attempts: u64,
    /// Retries per hundred first attempts.
    pub budget_percent: u64,
    /// Consecutive failures after which a back end is left out.
    pub circuit_failures: u64,
    /// How long it is left out.
    pub circuit_open_ms: u64,
}
impl Default for RouterRetriesSection {
    fn default() -> Self {
        Self {
            maximum_attempts: 3u64,
            budget_percent: 20u64,
            circuit_failures: 3u64,
            circuit_open_ms: 2000u64,
        }
    }
}
/// Reports to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterReportsSection {
    /// Time between reports. Keep it below a third of the lease.
    pub interval_ms: u64,
    /// Shortest time between reports when a request starts to wait.
    pub minimum_interval_ms: u64,
    /// Time between reads of a watched back end.
    pub watch_interval_ms: u64,
}
impl Default for RouterReportsSection {
    fn default() -> Self {
        Self {
            interval_ms: 500u64,
            minimum_interval_ms: 20u64,
            watch_interval_ms: 500u64,
        }
    }
}
/// Requests that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterClaimsSection {
    /// Wait for the control group before such a request is refused.
    pub timeout_ms: u64,
    /// Largest answer kept for repeats; a larger one is kept as `may have run`.
    pub maximum_answer_bytes: u64,
}
impl Default for RouterClaimsSection {
    fn default() -> Self {
        Self {
            timeout_ms: 3000u64,
            maximum_answer_bytes: 65536u64,
        }
    }
}
/// Planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterDrainSection {
    /// Time for requests in flight to end; those cut off after it are counted and logged.
    pub grace_ms: u64,
}
impl Default for RouterDrainSection {
    fn default() -> Self {
        Self { grace_ms: 600000u64 }
    }
}
/// Logs: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLogSection {
    /// Least severe level written.
    pub level: String,
    /// File to append to; empty for standard error.
    pub file: String,
}
impl Default for RouterLogSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            file: "".to_owned(),
        }
    }
}
/// Settings of a router (`millpass router`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterSettings {
    /// Who this router is and where it listens.
    pub router: RouterRouterSection,
    /// The control group.
    pub control: RouterControlSection,
    /// Limits towards callers. Each refusal names its limit.
    pub limits: RouterLimitsSection,
    /// Attempts at back ends.
    pub retries: RouterRetriesSection,
    /// Reports to the control group.
    pub reports: RouterReportsSection,
    /// Requests that may not be repeated.
    pub claims: RouterClaimsSection,
    /// Planned stop.
    pub drain: RouterDrainSection,
    /// Logs: one line of key=value pairs per event.
    pub log: RouterLogSection,
}
/// Keys of the `router` settings file.
pub const ROUTER_FILE: FileSpecification = FileSpecification {
    name: "router",
    sections: &[
        SectionSpecification {
            name: "router",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "name",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "group",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 4294967295u64,
                    },
                },
                KeySpecification {
                    name: "zone",
                    required: true,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "listen",
                    required: false,
                    kind: KeyKind::Address,
                },
                KeySpecification {
                    name: "metrics_listen",
                    required: false,
                    kind: KeyKind::Address,
                },
            ],
        },
        SectionSpecification {
            name: "control",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "members",
                    required: true,
                    kind: KeyKind::Addresses,
                },
            ],
        },
        SectionSpecification {
            name: "limits",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "maximum_connections",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000000u64,
                    },
                },
                KeySpecification {
                    name: "maximum_body_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1073741824u64,
                    },
                },
                KeySpecification {
                    name: "header_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                    },
                },
                KeySpecification {
                    name: "body_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                    },
                },
                KeySpecification {
                    name: "default_deadline_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 86400000u64,
                    },
                },
                KeySpecification {
                    name: "maximum_deadline_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 86400000u64,
                    },
                },
                KeySpecification {
                    name: "maximum_waiting",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "retries",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "maximum_attempts",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 20u64,
                    },
                },
                KeySpecification {
                    name: "budget_percent",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 100u64,
                    },
                },
                KeySpecification {
                    name: "circuit_failures",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000u64,
                    },
                },
                KeySpecification {
                    name: "circuit_open_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 600000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "reports",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 60000u64,
                    },
                },
                KeySpecification {
                    name: "minimum_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 60000u64,
                    },
                },
                KeySpecification {
                    name: "watch_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 60000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "claims",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                    },
                },
                KeySpecification {
                    name: "maximum_answer_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1048576u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "drain",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "grace_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 86400000u64,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "log",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "level",
                    required: false,
                    kind: KeyKind::Choice(&["off", "error", "warn", "info", "debug"]),
                },
                KeySpecification {
                    name: "file",
                    required: false,
                    kind: KeyKind::Text,
                },
            ],
        },
    ],
};
