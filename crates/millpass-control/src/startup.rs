//! From settings and data folder to a decision core: who this member is and what it remembers.

use crate::error::ControlError;
use crate::settings::{ControlProcessSettings, InitialMember, SeedMember};
use millpass_consensus::{ConsensusSettings, RestoredLog};
use millpass_control_plane::{ControlPlane, ControlPlaneSettings};
use millpass_proto::{LogPosition, MemberAddress, MemberId, Membership, SnapshotMeta, Timestamp};
use millpass_state::State;
use millpass_storage::{MemberIdentity, RestoredStorage, Storage, StorageError};

/// Identity of the only member of a group that bootstraps itself.
const SINGLE_MEMBER: MemberId = MemberId(1);
/// Identities below are those of initial members; joiners draw higher ones.
const FIRST_JOINER: u64 = 1 << 32;

/// What a member knows when it starts.
pub(crate) struct OpenedMember {
    /// Open data folder.
    pub(crate) storage: Storage,
    /// What it holds.
    pub(crate) restored: RestoredStorage,
}

/// Makes the data folder that of one of the initial members. Refused when it holds a member.
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

/// Refuses timings that would make the leader lease unsafe.
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

/// Opens the data folder; an empty one becomes that of a joiner under a fresh identity, or of one of the seeds that form
/// the group. None for an empty one that is to become a group of one: [`create_group`] needs the addresses at which the
/// process listens. Nothing listens yet: while a disk has no room, callers turn elsewhere at once.
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

/// Makes an empty data folder that of a group of one, which listens at these addresses.
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

/// This member's index among the seeds that form the group, in order of their addresses; none if
/// the group is not to be formed from seeds, or this member is not one of them.
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

/// The same on each seed: identities are places, and zones, which a seed doesn't know of the
/// others, stay empty.
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

/// A disk that was lost must not come back under its old vote: the identity is drawn anew.
fn joiner_identity() -> MemberId {
    MemberId(rand::random::<u64>() | FIRST_JOINER)
}

/// Peer addresses of the other members that the settings list.
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

/// Where the process listens, after binding.
#[derive(Clone, Debug)]
pub(crate) struct ListenAddresses {
    /// For members and routers.
    pub(crate) peer: String,
    /// For the administration API.
    pub(crate) administration: String,
}

impl ListenAddresses {
    /// The member's address as others reach it.
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

/// Builds the decision core from what the folder holds.
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
