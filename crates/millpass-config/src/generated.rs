//! Settings types. Generated from `schema/settings.yaml` by `cargo xtask generate`; do not edit.

use crate::specification::{
    FileSpecification, KeyKind, KeySpecification, Rounding, SectionSpecification,
};
use serde::{Deserialize, Serialize};
/// Identity and listen addresses of this member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlMemberSection {
    /// Consensus group ID; must be the same for all members and routers of a deployment.
    pub group: u64,
    /// Zone this member runs in.
    pub zone: String,
    /// Listen address for members and routers. Port 0 selects a free port.
    pub peer_listen: String,
    /// Address at which others reach `peer_listen`, if different (for example behind a relay); empty for the same address.
    pub peer_address: String,
    /// Listen address of the administration API and metrics.
    pub administration_listen: String,
    /// Folder for the log, snapshots and member identity. Must not be shared between processes.
    pub data_folder: String,
    /// BLAKE3 hash (hex) of a key that has administrator access while no operator account exists.
    pub bootstrap_key_hash: String,
    /// Administration addresses of members used to discover the group. Seeds must accept peer connections at the port of this member's `peer_listen`.
    pub seeds: Vec<String>,
    /// Whether seeds with empty data folders form a new group together; other members join it.
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
/// Self-announcing instances, configured by a deployment document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlFleetSection {
    /// `announced` if instances announce themselves; `off` if the platform lists machines.
    pub mode: String,
    /// Interval between announcements of an instance.
    pub announce_interval_ms: u64,
    /// Time without announcements after which an instance is considered gone.
    pub instance_silence_ms: u64,
    /// Timeout for an engine's response to an instruction. After a timeout, the engine's state is queried.
    pub call_timeout_ms: u64,
    /// Maximum concurrent calls to engines, each on its own thread, started on demand. At most a quarter of them may be to engines that did not answer their last call.
    pub calls_at_once: u64,
    /// Time after the last byte of an engine's last instruction during which no other leader instructs that engine. A new leader adds `order_lifetime_ms`. Must exceed `order_lifetime_ms` and `call_timeout_ms` together, so that an instruction is delivered before another leader instructs the engine, or never.
    pub order_handover_ms: u64,
    /// Time after the intent of an instruction is committed within which the instruction must be sent completely; otherwise it is not sent. Higher values avoid repeated scheduling decisions when engines accept connections slowly; lower values let a new leader instruct engines sooner.
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
/// Where resumable streams began, as gateways state it: a stream goes on only at the software version that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlStreamsSection {
    /// Maximum streams whose origins the leader keeps, of some 150 bytes each; streams beyond it cannot be taken up at another gateway.
    pub maximum: u64,
    /// Time after a change of leader in which gateways state their streams again. A stream that is not stated yet is refused with `stream-unconfirmed` and a Retry-After until then, with `stream-unknown` afterwards.
    pub settle_ms: u64,
}
impl Default for ControlStreamsSection {
    fn default() -> Self {
        Self {
            maximum: 500000u64,
            settle_ms: 2000u64,
        }
    }
}
/// Allowed overrun of tenants' limits. Gateways without a reachable leader use a part of it, and a new leader starts with a part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlQuotaSection {
    /// Length of the window over which use is summed.
    pub window_ms: u64,
    /// Allowed overrun, as a fraction of the limit.
    pub overage: String,
    /// Additional units allowed per window.
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
/// Parts of prompts that crash the instances that respond to them. Prompts with them are refused at every gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlCrashesSection {
    /// Crashes from which a part is refused that no instance is known to have responded to.
    pub part_crashes: u64,
    /// Moments, more than 150 ms apart, at which these crashes must have occurred: the loss of a rack is one moment.
    pub part_moments: u64,
    /// Crashes from which a part is refused that instances have responded to before them.
    pub served_part_crashes: u64,
    /// Moments at which these crashes must have occurred.
    pub served_part_moments: u64,
    /// Time for which a part is refused at first. Doubled with each further crash, a day at most.
    pub part_refusal_ms: u64,
}
impl Default for ControlCrashesSection {
    fn default() -> Self {
        Self {
            part_crashes: 4u64,
            part_moments: 3u64,
            served_part_crashes: 8u64,
            served_part_moments: 5u64,
            part_refusal_ms: 600000u64,
        }
    }
}
/// Initial members, identical and in the same order on every member. A member that joins later needs at least one reachable member in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlMembersSection {
    /// Zone of the member.
    pub zone: String,
    /// Peer address of the member (IP:port).
    pub peer_address: String,
    /// Administration API address of the member (IP:port).
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
/// Consensus timing. `lease_ms` must be shorter than `election_timeout_ms` by more than the clock drift.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlConsensusSection {
    /// Minimum time without a leader before a member starts an election.
    pub election_timeout_ms: u64,
    /// Interval between leader heartbeats.
    pub heartbeat_ms: u64,
    /// Duration of the leader lease after a heartbeat acknowledged by a quorum.
    pub lease_ms: u64,
    /// Time without a completed write on the leader's disk, while a majority has synced more entries, after which the leader transfers leadership. Values below the write latency of a slow disk cause unnecessary elections.
    pub stalled_disk_ms: u64,
    /// Maximum log entries per message.
    pub maximum_append_entries: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of a snapshot chunk.
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
/// Disk space for a member's data folder: three log segments, each exceeded by at most one write, plus two snapshots and one such write. A member refuses to start if this exceeds `disk_mb`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlStorageSection {
    /// Log segment size in megabytes at which a new segment is started and a snapshot is taken.
    pub segment_mb: u64,
    /// Maximum expected size of the replicated state in megabytes, which also bounds a snapshot and a single write. A warning is logged above three quarters of it.
    pub largest_state_mb: u64,
    /// Disk size in megabytes; 0 if unknown.
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
/// Leases granted to routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlRoutersSection {
    /// Time for which a router may use its catalog and routes after an acknowledged report. Limits how long a draining backend receives new work and how long a partitioned router serves requests.
    pub lease_ms: u64,
}
impl Default for ControlRoutersSection {
    fn default() -> Self {
        Self { lease_ms: 3000u64 }
    }
}
/// Model placement and keep-alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSchedulingSection {
    /// Interval between scheduling rounds.
    pub interval_ms: u64,
    /// Cost of one second of cold start.
    pub cold_start_weight: u64,
    /// Cost of one accelerator-second spent loaded and idle.
    pub idle_weight: u64,
    /// Keep-alive policy for idle replicas.
    pub keep_alive: String,
    /// Keep-alive time with `keep_alive = "fixed"`.
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
/// Capacity of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlStoreSection {
    /// Maximum loads started per second.
    pub loads_per_second: u64,
    /// Maximum concurrent loads that run at full speed.
    pub concurrent_loads: u64,
    /// Throughput of one load, used for wait estimates.
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
/// Non-repeatable requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlClaimsSection {
    /// Retention time of an idempotency key and its response; older keys are refused.
    pub retention_ms: u64,
}
impl Default for ControlClaimsSection {
    fn default() -> Self {
        Self { retention_ms: 86400000u64 }
    }
}
/// Replacement of lost members and machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlRepairSection {
    /// Time without contact after which a member is replaced by a standby member.
    pub member_replacement_delay_ms: u64,
    /// Number n of simultaneous member losses to tolerate: standby members are promoted until there are 2n+1 voters. 0 keeps the current number of voters.
    pub tolerated_losses: u64,
    /// Time for which a machine must be missing from the platform's list before its memory is considered released.
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
/// Machine list of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlPlatformSection {
    /// Address of the machine list.
    pub address: String,
}
impl Default for ControlPlatformSection {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7300".to_owned(),
        }
    }
}
/// Logging: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlLogSection {
    /// Minimum severity of logged events.
    pub level: String,
    /// Log file, opened for appending; empty for standard error.
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
    /// Identity and listen addresses of this member.
    pub member: ControlMemberSection,
    /// Self-announcing instances, configured by a deployment document.
    pub fleet: ControlFleetSection,
    /// Where resumable streams began, as gateways state it: a stream goes on only at the software version that began it.
    pub streams: ControlStreamsSection,
    /// Allowed overrun of tenants' limits. Gateways without a reachable leader use a part of it, and a new leader starts with a part of it.
    pub quota: ControlQuotaSection,
    /// Parts of prompts that crash the instances that respond to them. Prompts with them are refused at every gateway.
    pub crashes: ControlCrashesSection,
    /// Initial members, identical and in the same order on every member. A member that joins later needs at least one reachable member in the list.
    pub members: Vec<ControlMembersSection>,
    /// Consensus timing. `lease_ms` must be shorter than `election_timeout_ms` by more than the clock drift.
    pub consensus: ControlConsensusSection,
    /// Disk space for a member's data folder: three log segments, each exceeded by at most one write, plus two snapshots and one such write. A member refuses to start if this exceeds `disk_mb`.
    pub storage: ControlStorageSection,
    /// Leases granted to routers.
    pub routers: ControlRoutersSection,
    /// Model placement and keep-alive.
    pub scheduling: ControlSchedulingSection,
    /// Capacity of the weight store.
    pub store: ControlStoreSection,
    /// Non-repeatable requests.
    pub claims: ControlClaimsSection,
    /// Replacement of lost members and machines.
    pub repair: ControlRepairSection,
    /// Machine list of the platform.
    pub platform: ControlPlatformSection,
    /// Logging: one line of key=value pairs per event.
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
            name: "streams",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "maximum",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 10000000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "settle_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Up),
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
            name: "crashes",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "part_crashes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 2u64,
                        maximum: 1000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "part_moments",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "served_part_crashes",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 2u64,
                        maximum: 1000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "served_part_moments",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 1000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "part_refusal_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1000u64,
                        maximum: 86400000u64,
                        rounding: None,
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
/// Identity and listen addresses of this router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterRouterSection {
    /// Router name, unique in the deployment.
    pub name: String,
    /// Consensus group ID of the control members.
    pub group: u64,
    /// Zone the router runs in; backends in the same zone are preferred.
    pub zone: String,
    /// Listen address of the caller API.
    pub listen: String,
    /// Listen address for metrics, health checks and `explain`.
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
/// Control group connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterControlSection {
    /// Peer addresses of the control members (IP:port).
    pub members: Vec<String>,
}
impl Default for RouterControlSection {
    fn default() -> Self {
        Self { members: Vec::new() }
    }
}
/// Limits for callers. A refusal names the exceeded limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimitsSection {
    /// Maximum open connections.
    pub maximum_connections: u64,
    /// Maximum size of a request body.
    pub maximum_body_bytes: u64,
    /// Timeout for receiving request headers.
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: u64,
    /// Deadline of requests that state none.
    pub default_deadline_ms: u64,
    /// Maximum deadline a request may state.
    pub maximum_deadline_ms: u64,
    /// Maximum requests waiting for a replica.
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
/// Retries and circuit breaking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterRetriesSection {
    /// Maximum attempts per request, including the first.
    pub maximum_attempts: u64,
    /// Retries allowed per hundred first attempts.
    pub budget_percent: u64,
    /// Consecutive failures that open a backend's circuit breaker.
    pub circuit_failures: u64,
    /// Time for which an open circuit breaker excludes the backend.
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
    /// Interval between reports. Should be less than a third of the lease.
    pub interval_ms: u64,
    /// Minimum interval between reports sent because a request started to wait.
    pub minimum_interval_ms: u64,
    /// Interval between polls of a watched backend.
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
/// Non-repeatable requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterClaimsSection {
    /// Timeout for the control group's response, after which the request is refused.
    pub timeout_ms: u64,
    /// Maximum size of a recorded response. For a larger one, only `may have run` is recorded.
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
/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterDrainSection {
    /// Time for requests in flight to complete; remaining requests are aborted, counted and logged.
    pub grace_ms: u64,
}
impl Default for RouterDrainSection {
    fn default() -> Self {
        Self { grace_ms: 600000u64 }
    }
}
/// Logging: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLogSection {
    /// Minimum severity of logged events.
    pub level: String,
    /// Log file, opened for appending; empty for standard error.
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
    /// Identity and listen addresses of this router.
    pub router: RouterRouterSection,
    /// Control group connection.
    pub control: RouterControlSection,
    /// Limits for callers. A refusal names the exceeded limit.
    pub limits: RouterLimitsSection,
    /// Retries and circuit breaking.
    pub retries: RouterRetriesSection,
    /// Reports to the control group.
    pub reports: RouterReportsSection,
    /// Non-repeatable requests.
    pub claims: RouterClaimsSection,
    /// Graceful shutdown.
    pub drain: RouterDrainSection,
    /// Logging: one line of key=value pairs per event.
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
/// Identity and listen addresses of this gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayGatewaySection {
    /// Gateway name, unique in the deployment.
    pub name: String,
    /// Zone the gateway runs in; instances in the same zone are preferred.
    pub zone: String,
    /// Listen address for callers.
    pub listen: String,
    /// Listen address of the readiness check.
    pub ready_listen: String,
    /// Listen address for metrics.
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
/// Control group connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayControlSection {
    /// Administration addresses of control members used for discovery.
    pub seeds: Vec<String>,
    /// Port at which control members accept gateway connections.
    pub peer_port: u64,
    /// Interval between reports to the leader.
    pub report_interval_ms: u64,
    /// Time without messages from the leader after which another member is contacted.
    pub leader_silence_ms: u64,
    /// Timeout for connecting to a member.
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
/// Requests to instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayInstancesSection {
    /// Timeout for connecting to an instance.
    pub connect_timeout_ms: u64,
    /// Prompt tokens an engine processes per second.
    pub prompt_tokens_per_second: u64,
    /// Maximum wait of callers that state no deadline.
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
/// When an instance or a service counts as out of reach of this gateway, and how it is probed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayReachabilitySection {
    /// Time between the first probes of an instance that could not be connected to; doubled with each further one.
    pub probe_interval_ms: u64,
    /// Longest time between two probes of an instance or service out of reach.
    pub max_probe_interval_ms: u64,
    /// Number of other instances of a service that are connected to for comparison once one cannot be connected to. If none of them can, the service counts as out of reach.
    pub sample: u64,
    /// Time without a byte of a response after which the path to its instance is probed.
    pub silence_ms: u64,
}
impl Default for GatewayReachabilitySection {
    fn default() -> Self {
        Self {
            probe_interval_ms: 200u64,
            max_probe_interval_ms: 1000u64,
            sample: 5u64,
            silence_ms: 1000u64,
        }
    }
}
/// Requests that gateways without a path to the instances forward to this gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayPeersSection {
    /// Listen address for other gateways; it must be reachable from them.
    pub listen: String,
    /// Maximum requests of other gateways in progress; further ones are declined. 0 takes none.
    pub maximum_requests: u64,
}
impl Default for GatewayPeersSection {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:7403".to_owned(),
            maximum_requests: 128u64,
        }
    }
}
/// Memory for request bodies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBodiesSection {
    /// Megabytes of request bodies that are being read, wait or are in progress. A request whose body does not fit is refused with 503 before it is read; a quarter is left to bodies of up to 64 KiB. While a body is sent it takes twice its size.
    pub maximum_mb: u64,
}
impl Default for GatewayBodiesSection {
    fn default() -> Self {
        Self { maximum_mb: 64u64 }
    }
}
/// Where resumable streams began: a stream goes on only at the software version that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayStreamsSection {
    /// Time after its caller's deadline for which the origin of a stream is kept.
    pub retention_ms: u64,
    /// Time for which a request that takes up a stream waits for the leader to state its origin.
    pub lookup_timeout_ms: u64,
    /// Time for which a request that goes on with a stream waits until announcements show that the process run behind a connection is the expected one. At least two intervals of the announcements of instances.
    pub proof_timeout_ms: u64,
    /// Least time between two statements of begun streams to the leader. With many gateways it is 0.25 ms for each of them. Streams that began within it are lost with the gateway.
    pub report_interval_ms: u64,
    /// Maximum streams whose origins this gateway keeps, of some 200 bytes each; the oldest are forgotten first.
    pub maximum: u64,
}
impl Default for GatewayStreamsSection {
    fn default() -> Self {
        Self {
            retention_ms: 15000u64,
            lookup_timeout_ms: 400u64,
            proof_timeout_ms: 3000u64,
            report_interval_ms: 20u64,
            maximum: 20000u64,
        }
    }
}
/// Which requests may have crashed an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayCrashesSection {
    /// Longest time from the start of a response to the crash that a part of its prompt causes. A response that lasts longer, or is whole, shows that the parts of its prompt crash nothing.
    pub onset_ms: u64,
}
impl Default for GatewayCrashesSection {
    fn default() -> Self {
        Self { onset_ms: 500u64 }
    }
}
/// Maximum age of the configuration used to answer requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayFreshnessSection {
    /// Time after its acknowledgement by which a change is effective on every gateway. A gateway treats its state as current for this long after the last confirmation; later it refuses requests with 503 if it reaches a majority of the members.
    pub in_force_ms: u64,
    /// Time after the acknowledgement of an instance's departure from which it receives no more requests. Instances are selected only until this time minus the time needed to send a request.
    pub departed_ms: u64,
    /// Time without confirmation for which a gateway that cannot reach a majority of the members continues to serve known routes; unknown routes get 503, never 404. 0 refuses immediately.
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
/// API keys of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayTenantsSection {
    /// Handling of requests with a key that could not be verified for `key_lifetime_ms` and may have been revoked: `serve` accepts the last known keys, `refuse` rejects the request as not executed.
    pub unchecked_keys: String,
    /// Time without confirmation by the leader or a majority of the members after which keys are considered unverified.
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
/// Allowed overrun of tenants' limits. Gateways without a reachable leader use a part of it, and a new leader starts with a part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayQuotaSection {
    /// Length of the window over which use is summed.
    pub window_ms: u64,
    /// Allowed overrun, as a fraction of the limit.
    pub overage: String,
    /// Additional units allowed per window.
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
/// Retry budget of a service, over all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayRetriesSection {
    /// Retries allowed per request.
    pub ratio: String,
    /// Additional retries allowed per window.
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
/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayDrainSection {
    /// Time until the platform kills the process; the gateway exits slightly earlier.
    pub grace_ms: u64,
    /// Time for which new connections are still accepted.
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
/// Logging: one line of key=value pairs per event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayLogSection {
    /// Minimum severity of logged events.
    pub level: String,
    /// Log file, opened for appending; empty for standard error.
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
/// Settings of a gateway, a router for self-announcing instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Identity and listen addresses of this gateway.
    pub gateway: GatewayGatewaySection,
    /// Control group connection.
    pub control: GatewayControlSection,
    /// Requests to instances.
    pub instances: GatewayInstancesSection,
    /// When an instance or a service counts as out of reach of this gateway, and how it is probed.
    pub reachability: GatewayReachabilitySection,
    /// Requests that gateways without a path to the instances forward to this gateway.
    pub peers: GatewayPeersSection,
    /// Memory for request bodies.
    pub bodies: GatewayBodiesSection,
    /// Where resumable streams began: a stream goes on only at the software version that began it.
    pub streams: GatewayStreamsSection,
    /// Which requests may have crashed an instance.
    pub crashes: GatewayCrashesSection,
    /// Maximum age of the configuration used to answer requests.
    pub freshness: GatewayFreshnessSection,
    /// API keys of callers.
    pub tenants: GatewayTenantsSection,
    /// Allowed overrun of tenants' limits. Gateways without a reachable leader use a part of it, and a new leader starts with a part of it.
    pub quota: GatewayQuotaSection,
    /// Retry budget of a service, over all gateways.
    pub retries: GatewayRetriesSection,
    /// Graceful shutdown.
    pub drain: GatewayDrainSection,
    /// Logging: one line of key=value pairs per event.
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
            name: "reachability",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "probe_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "max_probe_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "sample",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 100u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "silence_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "peers",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "listen",
                    required: false,
                    kind: KeyKind::Address,
                },
                KeySpecification {
                    name: "maximum_requests",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 100000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "bodies",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "maximum_mb",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 65536u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "streams",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "retention_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 3600000u64,
                        rounding: Some(Rounding::Up),
                    },
                },
                KeySpecification {
                    name: "lookup_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "proof_timeout_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 60000u64,
                        rounding: Some(Rounding::Up),
                    },
                },
                KeySpecification {
                    name: "report_interval_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 1u64,
                        maximum: 60000u64,
                        rounding: None,
                    },
                },
                KeySpecification {
                    name: "maximum",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 0u64,
                        maximum: 10000000u64,
                        rounding: None,
                    },
                },
            ],
        },
        SectionSpecification {
            name: "crashes",
            repeated: false,
            keys: &[
                KeySpecification {
                    name: "onset_ms",
                    required: false,
                    kind: KeyKind::Integer {
                        minimum: 10u64,
                        maximum: 600000u64,
                        rounding: Some(Rounding::Up),
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
