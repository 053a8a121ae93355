//! Opens the data folder, determines the identity of the member, and builds the decision core.

use crate::error::ControlError;
use crate::settings::{ControlProcessSettings, InitialMember, SeedMember};
use millpass_consensus::{ConsensusSettings, RestoredLog};
use millpass_control_plane::{ControlPlane, ControlPlaneSettings};
use millpass_proto::{LogPosition, MemberAddress, MemberId, Membership, SnapshotMeta, Timestamp};
use millpass_state::State;
use millpass_storage::{MemberIdentity, RestoredStorage, Storage, StorageError};

/// Member id in a group of one.
const SINGLE_MEMBER: MemberId = MemberId(1);
/// Lowest id of joiners; ids of initial members are below.
const FIRST_JOINER: u64 = 1 << 32;
/// Encoded bytes of entries after which no further entry is added to a message. A message of several
/// entries is thus sent whole; see [`WHOLE_MESSAGE_BYTES`](millpass_proto::codec::WHOLE_MESSAGE_BYTES).
const MAXIMUM_APPEND_BYTES: usize = 384 * 1024;
/// Encoded bytes of entries in flight to one member.
const MAXIMUM_IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// Encoded bytes of uncommitted entries after which large changes are rejected.
const MAXIMUM_UNCOMMITTED_BYTES: usize = 16 * 1024 * 1024;

/// An opened data folder.
pub(crate) struct OpenedMember {
    /// Storage of the data folder.
    pub(crate) storage: Storage,
    /// Restored content.
    pub(crate) restored: RestoredStorage,
}

/// Initializes the data folder of an initial member. Fails if the folder already belongs to a
/// member.
pub fn initialize(settings: &ControlProcessSettings) -> Result<(), ControlError> {
    check(settings)?;
    let address = own_peer_address(settings);
    let index = settings
        .initial_members
        .iter()
        .position(|member| member.peer_address == address)
        .ok_or(ControlError::NotAnInitialMember { address })?;
    let voters = settings
        .initial_members
        .iter()
        .enumerate()
        .map(|(index, member)| initial_address(index, member))
        .collect();
    write_identity(settings, initial_identity(index), voters)
}

/// Rejects timings that would make the leader lease unsafe.
pub(crate) fn check(settings: &ControlProcessSettings) -> Result<(), ControlError> {
    let timing = &settings.consensus;
    let lease_millis = timing.lease_length.as_millis();
    let election_millis = timing.election_timeout.as_millis();
    if lease_millis * 4 > election_millis * 3 {
        return Err(ControlError::LeaseTooLong {
            lease_millis,
            election_millis,
        });
    }
    Ok(())
}

fn own_peer_address(settings: &ControlProcessSettings) -> String {
    let advertised = settings.peer_advertise.clone();
    advertised.unwrap_or_else(|| settings.peer_listen.clone())
}

fn initial_identity(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

fn initial_address(index: usize, member: &InitialMember) -> MemberAddress {
    MemberAddress {
        member: initial_identity(index),
        zone: member.zone.clone(),
        peer_address: member.peer_address.clone(),
        administration_address: member.administration_address.clone(),
    }
}

fn write_identity(
    settings: &ControlProcessSettings,
    member: MemberId,
    voters: Vec<MemberAddress>,
) -> Result<(), ControlError> {
    let identity = MemberIdentity {
        group: settings.group,
        member,
    };
    let initial = SnapshotMeta {
        last: LogPosition { term: 0, index: 0 },
        membership: Membership {
            voters,
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        },
    };
    Ok(Storage::initialize_with(
        &settings.data_folder,
        &settings.storage,
        identity,
        initial,
    )?)
}

/// Opens the data folder, and initializes an empty one for a seed that forms the group or for a
/// joiner with a new id. Returns `None` for an empty folder of a group of one, as [`create_group`]
/// needs the bound addresses. Called before the process listens, so that callers get connection
/// errors while the disk is unavailable.
pub(crate) fn open(
    settings: &ControlProcessSettings,
) -> Result<Option<OpenedMember>, ControlError> {
    check(settings)?;
    match open_folder(settings) {
        Err(ControlError::Storage(StorageError::NotInitialized { .. })) => {}
        opened => return opened.map(Some),
    }
    if let Some(index) = seed_index(settings) {
        write_identity(settings, initial_identity(index), seed_voters(settings))?;
    } else if settings.bootstrap {
        return Ok(None);
    } else if others(settings).is_empty() {
        return Err(ControlError::NoMembersToJoin);
    } else {
        write_identity(settings, joiner_identity(), Vec::new())?;
    }
    open_folder(settings).map(Some)
}

/// Initializes an empty data folder for a group of one that listens at these addresses.
pub(crate) fn create_group(
    settings: &ControlProcessSettings,
    addresses: &ListenAddresses,
) -> Result<OpenedMember, ControlError> {
    let address = addresses.member_address(SINGLE_MEMBER, settings);
    write_identity(settings, SINGLE_MEMBER, vec![address])?;
    open_folder(settings)
}

fn open_folder(settings: &ControlProcessSettings) -> Result<OpenedMember, ControlError> {
    let options = settings.storage.clone();
    let (storage, restored) = Storage::open_with(&settings.data_folder, options)?;
    if restored.identity.group != settings.group {
        return Err(ControlError::WrongGroup {
            found: restored.identity.group.0,
            wanted: settings.group.0,
        });
    }
    Ok(OpenedMember { storage, restored })
}

/// Returns this member's index among the seeds, ordered by address; `None` if the group is not
/// formed from seeds or this member is not one of them.
fn seed_index(settings: &ControlProcessSettings) -> Option<usize> {
    if !settings.form_from_seeds {
        return None;
    }
    let own = own_peer_address(settings);
    let seeds = sorted_seeds(settings);
    seeds.iter().position(|seed| seed.peer_address == own)
}

fn sorted_seeds(settings: &ControlProcessSettings) -> Vec<&SeedMember> {
    let mut seeds: Vec<&SeedMember> = settings.seeds.iter().collect();
    seeds.sort_by(|left, right| left.peer_address.cmp(&right.peer_address));
    seeds.dedup_by(|left, right| left.peer_address == right.peer_address);
    seeds
}

/// Returns the initial voters, which must be the same on each seed: ids are derived from the order
/// of the addresses, and zones, unknown for other seeds, are empty.
fn seed_voters(settings: &ControlProcessSettings) -> Vec<MemberAddress> {
    sorted_seeds(settings)
        .into_iter()
        .enumerate()
        .map(|(index, seed)| MemberAddress {
            member: initial_identity(index),
            zone: "".into(),
            peer_address: seed.peer_address.clone(),
            administration_address: seed.administration_address.clone(),
        })
        .collect()
}

/// Draws a new random id, as a member that lost its disk must not vote under its old id.
fn joiner_identity() -> MemberId {
    MemberId(rand::random::<u64>() | FIRST_JOINER)
}

/// Returns the peer addresses of the other members in the settings.
pub(crate) fn others(settings: &ControlProcessSettings) -> Vec<String> {
    let own = own_peer_address(settings);
    settings
        .initial_members
        .iter()
        .map(|member| &member.peer_address)
        .chain(settings.seeds.iter().map(|seed| &seed.peer_address))
        .filter(|address| **address != own)
        .cloned()
        .collect()
}

/// Bound listen addresses.
#[derive(Clone, Debug)]
pub(crate) struct ListenAddresses {
    /// For members and routers.
    pub(crate) peer: String,
    /// For the administration API.
    pub(crate) administration: String,
}

impl ListenAddresses {
    /// Returns the member's advertised address.
    pub(crate) fn member_address(
        &self,
        member: MemberId,
        settings: &ControlProcessSettings,
    ) -> MemberAddress {
        let peer = settings.peer_advertise.clone();
        let administration = settings.administration_advertise.clone();
        MemberAddress {
            member,
            zone: settings.zone.clone(),
            peer_address: peer.unwrap_or_else(|| self.peer.clone()),
            administration_address: administration.unwrap_or_else(|| self.administration.clone()),
        }
    }
}

/// Builds the decision core from the restored data folder.
pub(crate) fn core(
    settings: &ControlProcessSettings,
    address: MemberAddress,
    restored: RestoredStorage,
    now: Timestamp,
) -> Result<ControlPlane, ControlError> {
    let state = match &restored.snapshot {
        Some(snapshot) => State::decode(&snapshot.data)
            .map_err(|error| ControlError::StateUnreadable(error.to_string()))?,
        None => State::default(),
    };
    let log = RestoredLog {
        snapshot: restored.snapshot_meta().clone(),
        hard_state: restored.hard_state,
        entries: restored.entries,
    };
    let settings = core_settings(settings, address);
    Ok(ControlPlane::new(settings, log, state, now))
}

fn core_settings(
    settings: &ControlProcessSettings,
    address: MemberAddress,
) -> ControlPlaneSettings {
    let timing = &settings.consensus;
    let consensus = ConsensusSettings {
        group: settings.group,
        member: address.member,
        election_timeout: timing.election_timeout,
        heartbeat_interval: timing.heartbeat_interval,
        lease_length: timing.lease_length,
        stalled_disk_limit: timing.stalled_disk_limit,
        maximum_append_entries: timing.maximum_append_entries,
        maximum_append_bytes: MAXIMUM_APPEND_BYTES,
        maximum_in_flight_bytes: MAXIMUM_IN_FLIGHT_BYTES,
        maximum_uncommitted_bytes: MAXIMUM_UNCOMMITTED_BYTES,
        snapshot_chunk_bytes: timing.snapshot_chunk_bytes,
        seed: rand::random(),
    };
    ControlPlaneSettings {
        address,
        consensus,
        scheduler: settings.scheduler.clone(),
        router_lease: settings.router_lease,
        scheduling_interval: settings.scheduling_interval,
        snapshot_entries: settings.snapshot_entries,
        claim_retention: settings.claim_retention,
        member_replacement_delay: settings.member_replacement_delay,
        machine_gone_delay: settings.machine_gone_delay,
        fleet: settings.fleet.clone(),
        seeds: others(settings),
        target_voters: settings.target_voters,
    }
}
