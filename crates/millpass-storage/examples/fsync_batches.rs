//! Measures the write throughput of the storage by batch size.
//!
//! `cargo run --release -p millpass-storage --example fsync_batches -- FOLDER`; the folder
//! must not exist.

use millpass_proto::{
    ChangeId, Command, EntryPayload, GroupId, LogEntry, LogPosition, MemberId, Membership,
    ObjectChange, ObjectKey, ObjectKind, OperatorName, SnapshotMeta,
};
use millpass_storage::{MemberIdentity, Storage, StorageWrite};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const BATCHES: [u64; 3] = [1, 16, 128];
const LENGTH: Duration = Duration::from_secs(3);

fn entry(index: u64) -> LogEntry {
    LogEntry {
        position: LogPosition { term: 1, index },
        payload: EntryPayload::Command(Command::ChangeObject(ObjectChange {
            key: ObjectKey {
                kind: ObjectKind::Model,
                name: "narrator-small".to_owned(),
            },
            expected_version: index,
            change_id: ChangeId(format!("change-{index}")),
            operator: OperatorName("operator".to_owned()),
            at_unix_millis: 0,
            spec: None,
        })),
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args()
        .nth(1)
        .ok_or("pass the path of a folder that does not exist yet")?;
    let folder = PathBuf::from(folder);
    std::fs::create_dir(&folder)?;
    for batch in BATCHES {
        let data = folder.join(format!("batch-{batch}"));
        let identity = MemberIdentity {
            group: GroupId(1),
            member: MemberId(1),
        };
        let initial = SnapshotMeta {
            last: LogPosition::ZERO,
            membership: Membership {
                voters: Vec::new(),
                outgoing_voters: Vec::new(),
                learners: Vec::new(),
            },
        };
        Storage::initialize(&data, identity, initial)?;
        let (mut storage, _) = Storage::open(&data)?;
        measure(&mut storage, batch)?;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn measure(storage: &mut Storage, batch: u64) -> Result<(), Box<dyn std::error::Error>> {
    let started = Instant::now();
    let mut index = 0;
    let mut syncs = 0_u64;
    let mut slowest = Duration::ZERO;
    while started.elapsed() < LENGTH {
        let entries: Vec<LogEntry> = (index + 1..=index + batch).map(entry).collect();
        let writes: Vec<StorageWrite<'_>> = entries
            .chunks(1)
            .map(|entries| StorageWrite {
                entries,
                ..StorageWrite::default()
            })
            .collect();
        let before = Instant::now();
        storage.write_batch(&writes)?;
        slowest = slowest.max(before.elapsed());
        index += batch;
        syncs += 1;
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "batch={batch} proposals_per_second={:.0} syncs_per_second={:.0} slowest_sync_micros={}",
        index as f64 / seconds,
        syncs as f64 / seconds,
        slowest.as_micros()
    );
    Ok(())
}
