//! Settings types. Generated from `schema/settings.yaml` by `cargo xtask generate`; do not edit.

use crate::specification::{
    FileSpecification, KeyKind, KeySpecification, Rounding, SectionSpecification,
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
    /// Administration addresses of members to find the group through; they listen for members at the port of this member's `peer_listen`.
    pub seeds: Vec<String>,
    /// Whether seeds with empty data folders form the group together; others join it.
    pub form_group: String,
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
            seeds: Vec::new(),
            form_group: "never".to_owned(),
        }
    }
}
/// Instances that announce themselves, under a configuration that is one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlFleetSection {
    /// Whether instances announce themselves; otherwise the platform lists machines.
    pub mode: String,
    /// Time between two announcements of an instance.
    pub announce_interval_ms: u64,
    /// Time after which an instance that is not heard of is gone.
    pub instance_silence_ms: u64,
    /// Longest wait for an engine's answer to an order; without one, its state is read.
    pub call_timeout_ms: u64,
    /// Most calls to engines at once, each on a thread that is started when it is needed. A quarter of them may be to engines that did not answer their last call.
    pub calls_at_once: u64,
    /// Time from the last byte of an engine's last instruction for which no other leader instructs it. The next leader adds order_lifetime_ms.
    pub order_handover_ms: u64,
    /// Time from the commit of an instruction's note within which its last byte leaves, or it does not leave. Longer: fewer instructions are decided anew where engines are slow to take connections; shorter: the next leader steers sooner. Instructions wait 15 ms at most on an ordinary day.
    pub order_lifetime_ms: u64,
}
impl Default for ControlFleetSection {
    fn default() -> Self {
        Self {
            mode: "off".to_owned(),
            announce_interval_ms: 1200u64,
            instance_silence_ms: 6000u64,
            call_timeout_ms: 600u64,
            calls_at_once: 48u64,
            order_handover_ms: 3000u64,
            order_lifetime_ms: 200u64,
        }
    }
}
/// What the contract bears above tenants' limits. Gateways that no leader answers use a part of it, and a new leader begins with a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlQuotaSection {
    /// Length of the window in which use is summed.
    pub window_ms: u64,
    /// Part of the limit that is borne above it.
    pub overage: String,
    /// Units borne beyond that in a window.
    pub slack_units: u64,
}
impl Default for ControlQuotaSection {
    fn default() -> Self {
        Self {
            window_ms: 10000u64,
            overage: "0".to_owned(),
            slack_units: 0u64,
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
    /// Time for which the leader's disk may finish no write while a majority syncs more than it holds, before it hands leadership over. Above what a slow disk takes (120 ms at sixty times two), or it costs elections.
    pub stalled_disk_ms: u64,
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
            stalled_disk_ms: 1000u64,
            maximum_append_entries: 256u64,
            snapshot_entries: 20000u64,
            snapshot_chunk_bytes: 262144u64,
        }
    }
}
/// What a member's data folder may hold: three log segments, each with one write beyond its size, and two snapshots beside that write. A start is refused where that is more than the disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlStorageSection {
    /// Size of a log segment in megabytes, from which the next is started and a snapshot is taken.
    pub segment_mb: u64,
    /// Largest replicated state to be expected, in megabytes; so large is a snapshot, and a write at most. The log warns from three quarters of it on.
    pub largest_state_mb: u64,
    /// Size of the disk in megabytes; 0 where it is not known.
    pub disk_mb: u64,
}
impl Default for ControlStorageSection {
    fn default() -> Self {
        Self {
            segment_mb: 8u64,
            largest_state_mb: 16u64,
            disk_mb: 0u64,
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
    /// Members that may be lost at once: waiting members are promoted until there are twice as many voters and one more. 0 keeps their number.
    pub tolerated_losses: u64,
    /// Time a machine must be missing from the platform's list before its memory counts as gone.
    pub machine_gone_delay_ms: u64,
}
impl Default for ControlRepairSection {
    fn default() -> Self {
        Self {
            member_replacement_delay_ms: 30000u64,
            tolerated_losses: 0u64,
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
    /// Instances that announce themselves, under a configuration that is one document.
    pub fleet: ControlFleetSection,
    /// What the contract bears above tenants' limits. Gateways that no leader answers use a part of it, and a new leader begins with a part.
    pub quota: ControlQuotaSection,
    /// The initial members, the same list in the same order on each; a member that joins later needs at least one that lives.
    pub members: Vec<ControlMembersSection>,
    /// Timing of the control group. The lease must be shorter than the election timeout by more than clocks drift.
    pub consensus: ControlConsensusSection,
    /// What a member's data folder may hold: three log segments, each with one write beyond its size, and two snapshots beside that write. A start is refused where that is more than the disk.
    pub storage: ControlStorageSection,
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
                        rounding: None,
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
                KeySpecification {
                    name: "seeds",
                    required: false,
                    kind: KeyKind::Addresses,
                },
                KeySpecification {
                    name: "form_group",
                    required: false,
                    kind: KeyKind::Choice(&["never", "from-seeds"]),
                },
            ],
        },
        SectionSpecification {
            name: "fleet",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "mode",
                    required: false,
                    kind: KeyKind::Choice(&["off", "announced"]),
                },
                KeySpecification {
                    name: "announce_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 50u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Up),
                    },
                },
                KeySpecification {
                    name: "instance_silence_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "call_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "calls_at_once",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 4u64,
                        maximum: 512u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "order_handover_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Up),
                    },
                },
                KeySpecification {
                    name: "order_lifetime_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 50u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "quota",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "window_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "overage",
                    required: false,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "slack_units",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000000000u64,
                        rounding: Some(Rounding::Down),
                    },
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "heartbeat_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 5u64,
                        maximum: 10000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "lease_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 50000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "stalled_disk_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum_append_entries",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "snapshot_entries",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "snapshot_chunk_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1024u64,
                        maximum: 8388608u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "storage",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "segment_mb",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1024u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "largest_state_mb",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 65536u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "disk_mb",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1073741824u64,
                        rounding: Some(Rounding::Down),
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
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "cold_start_weight",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "idle_weight",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000u64,
                        rounding: None,
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
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "concurrent_loads",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 10000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "bytes_per_second",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1000u64,
                        maximum: 1000000000000u64,
                        rounding: None,
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
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "tolerated_losses",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 10u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "machine_gone_delay_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                        rounding: None,
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
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum_body_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1073741824u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "header_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "body_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "default_deadline_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 86400000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum_deadline_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 86400000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum_waiting",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000000u64,
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "budget_percent",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 100u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "circuit_failures",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "circuit_open_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 600000u64,
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "minimum_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "watch_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 60000u64,
                        rounding: None,
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
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum_answer_bytes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1048576u64,
                        rounding: None,
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
                        rounding: None,
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
/// Who this gateway is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayGatewaySection {
    /// Name, unique in the deployment.
    pub name: String,
    /// Zone it runs in; instances of the zone are preferred.
    pub zone: String,
    /// Address for callers.
    pub listen: String,
    /// Address where readiness is asked.
    pub ready_listen: String,
    /// Address of metrics.
    pub metrics_listen: String,
}
impl Default for GatewayGatewaySection {
    fn default() -> Self {
        Self {
            name: "".to_owned(),
            zone: "".to_owned(),
            listen: "127.0.0.1:7400".to_owned(),
            ready_listen: "127.0.0.1:7401".to_owned(),
            metrics_listen: "127.0.0.1:7402".to_owned(),
        }
    }
}
/// The control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayControlSection {
    /// Administration addresses of control members to begin with.
    pub seeds: Vec<String>,
    /// Port at which control members listen for gateways.
    pub peer_port: u64,
    /// Time between reports to the leader.
    pub report_interval_ms: u64,
    /// Silence of the leader after which another member is asked.
    pub leader_silence_ms: u64,
    /// Longest wait for a connection to a member.
    pub connect_timeout_ms: u64,
}
impl Default for GatewayControlSection {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            peer_port: 7100u64,
            report_interval_ms: 300u64,
            leader_silence_ms: 1200u64,
            connect_timeout_ms: 400u64,
        }
    }
}
/// Sends to instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayInstancesSection {
    /// Longest wait for a connection to an instance.
    pub connect_timeout_ms: u64,
    /// Prompt tokens that an engine reads in a second.
    pub prompt_tokens_per_second: u64,
    /// How long a caller that states no deadline waits.
    pub default_patience_ms: u64,
}
impl Default for GatewayInstancesSection {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250u64,
            prompt_tokens_per_second: 38000u64,
            default_patience_ms: 15000u64,
        }
    }
}
/// What is answered by a configuration of some age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayFreshnessSection {
    /// Time after an acknowledgement by which a change is in force at each gateway: for so long after its last confirmation what a gateway knows counts as the newest. Afterwards it refuses, with 503, if it reaches a majority of the members.
    pub in_force_ms: u64,
    /// Time after the acknowledgement of an instance's departure from which on no request reaches it; choices of instances stop before it by the time that sending takes.
    pub departed_ms: u64,
    /// Time without confirmation for which a gateway that reaches no majority of the members goes on with the routes that it knows; unknown ones get 503, never 404. 0 to refuse at once.
    pub cut_off_ms: u64,
}
impl Default for GatewayFreshnessSection {
    fn default() -> Self {
        Self {
            in_force_ms: 2000u64,
            departed_ms: 2000u64,
            cut_off_ms: 300000u64,
        }
    }
}
/// Callers' keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayTenantsSection {
    /// What a request with a key gets once keys could not be checked for key_lifetime_ms and the key may have been taken away: `serve` goes on with the keys last known, `refuse` turns it away as not run.
    pub unchecked_keys: String,
    /// Time without confirmation by the leader or a majority of the members after which keys count as unchecked.
    pub key_lifetime_ms: u64,
}
impl Default for GatewayTenantsSection {
    fn default() -> Self {
        Self {
            unchecked_keys: "serve".to_owned(),
            key_lifetime_ms: 5000u64,
        }
    }
}
/// What the contract bears above tenants' limits. Gateways that no leader answers use a part of it, and a new leader begins with a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayQuotaSection {
    /// Length of the window in which use is summed.
    pub window_ms: u64,
    /// Part of the limit that is borne above it.
    pub overage: String,
    /// Units borne beyond that in a window.
    pub slack_units: u64,
}
impl Default for GatewayQuotaSection {
    fn default() -> Self {
        Self {
            window_ms: 10000u64,
            overage: "0".to_owned(),
            slack_units: 0u64,
        }
    }
}
/// Repeats that a service may get, over all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayRetriesSection {
    /// Repeats for each request.
    pub ratio: String,
    /// Repeats in a window beyond that.
    pub slack: u64,
    /// Length of the window.
    pub window_ms: u64,
}
impl Default for GatewayRetriesSection {
    fn default() -> Self {
        Self {
            ratio: "0.2".to_owned(),
            slack: 10u64,
            window_ms: 10000u64,
        }
    }
}
/// Planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayDrainSection {
    /// Time until the process is killed; it ends a little before.
    pub grace_ms: u64,
    /// Time for which new connections are still taken.
    pub accept_ms: u64,
}
impl Default for GatewayDrainSection {
    fn default() -> Self {
        Self {
            grace_ms: 8000u64,
            accept_ms: 2500u64,
        }
    }
}
/// Logs: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayLogSection {
    /// Least severe level written.
    pub level: String,
    /// File to append to; empty for standard error.
    pub file: String,
}
impl Default for GatewayLogSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            file: "".to_owned(),
        }
    }
}
/// Settings of a gateway: a router whose instances announce themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Who this gateway is and where it listens.
    pub gateway: GatewayGatewaySection,
    /// The control group.
    pub control: GatewayControlSection,
    /// Sends to instances.
    pub instances: GatewayInstancesSection,
    /// What is answered by a configuration of some age.
    pub freshness: GatewayFreshnessSection,
    /// Callers' keys.
    pub tenants: GatewayTenantsSection,
    /// What the contract bears above tenants' limits. Gateways that no leader answers use a part of it, and a new leader begins with a part.
    pub quota: GatewayQuotaSection,
    /// Repeats that a service may get, over all gateways.
    pub retries: GatewayRetriesSection,
    /// Planned stop.
    pub drain: GatewayDrainSection,
    /// Logs: one line of key=value pairs per event.
    pub log: GatewayLogSection,
}
/// Keys of the `gateway` settings file.
pub const GATEWAY_FILE: FileSpecification = FileSpecification {
    name: "gateway",
    sections: &[
        SectionSpecification {
            name: "gateway",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "name",
                    required: true,
                    kind: KeyKind::Text,
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
                    name: "ready_listen",
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
                    name: "seeds",
                    required: true,
                    kind: KeyKind::Addresses,
                },
                KeySpecification {
                    name: "peer_port",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 65535u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "report_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 20u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "leader_silence_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 50u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "connect_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "instances",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "connect_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "prompt_tokens_per_second",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 100000000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "default_patience_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 86400000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "freshness",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "in_force_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 200u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "departed_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 200u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "cut_off_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 86400000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "tenants",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "unchecked_keys",
                    required: false,
                    kind: KeyKind::Choice(&["serve", "refuse"]),
                },
                KeySpecification {
                    name: "key_lifetime_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 86400000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
            ],
        },
        SectionSpecification {
            name: "quota",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "window_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "overage",
                    required: false,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "slack_units",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000000000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
            ],
        },
        SectionSpecification {
            name: "retries",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "ratio",
                    required: false,
                    kind: KeyKind::Text,
                },
                KeySpecification {
                    name: "slack",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 1000000u64,
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "window_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 100u64,
                        maximum: 3600000u64,
                        rounding: Some(Rounding::Up),
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
                        rounding: Some(Rounding::Down),
                    },
                },
                KeySpecification {
                    name: "accept_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 86400000u64,
                        rounding: None,
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
