//! Members with real sockets and files.

mod common;

use common::{TestRouter, group, leader, start_all, status, wait_for};
use millpass_control::{ControlError, ControlProcessSettings, start};
use millpass_proto::{ControlToRouter, MemberId};
use rstest::rstest;
use std::net::TcpListener;

#[test]
fn a_single_member_serves_a_router_as_leader() {
    let folder = tempfile::tempdir().expect("folder");
    let handle = start(ControlProcessSettings::single(folder.path())).expect("start");
    let update = wait_for("leader", || {
        let mut router = TestRouter::connect(handle.peer_address(), "router-1").ok()?;
        match router.report().ok()? {
            ControlToRouter::Update(update) => Some(update),
            _ => None,
        }
    });
    assert_eq!(update.sequence, 1);
    assert!(update.lease_millis > 0);
    handle.drain();
    handle.join().expect("drained");
}

#[test]
fn a_killed_leader_is_replaced_in_a_higher_term() {
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    start_all(&mut members);
    let (first, update) = wait_for("leader", || leader(&members));
    members[first].halt();
    let (second, later) = wait_for("second leader", || leader(&members));
    assert_ne!(first, second);
    assert!(later.term > update.term);
    members[first].start();
    members[second].halt();
    let (_, last) = wait_for("third leader", || leader(&members));
    assert!(last.term > later.term);
}

#[test]
fn a_follower_names_the_leader() {
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    start_all(&mut members);
    let (leading, _) = wait_for("leader", || leader(&members));
    let follower = (leading + 1) % 3;
    let hint = wait_for("hint", || {
        let mut router = TestRouter::connect(&members[follower].address(), "router-1").ok()?;
        match router.report().ok()? {
            ControlToRouter::NotLeader(answer) => answer.leader_address,
            _ => None,
        }
    });
    assert_eq!(hint, members[leading].address());
}

#[test]
fn a_planned_stop_transfers_leadership() {
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    start_all(&mut members);
    let (leading, _) = wait_for("leader", || leader(&members));
    let handle = members[leading].handle.take().expect("handle");
    handle.drain();
    handle.join().expect("drained");
    let (next, _) = wait_for("next leader", || leader(&members));
    assert_ne!(next, leading);
}

#[test]
fn a_member_that_lost_its_disk_rejoins_with_a_new_id() {
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    start_all(&mut members);
    let (leading, _) = wait_for("leader", || leader(&members));
    let lost = (leading + 1) % 3;
    let old = members[lost].handle.as_ref().expect("handle").member();
    members[lost].halt();
    std::fs::remove_dir_all(&members[lost].settings.data_folder).expect("wipe");
    members[lost].start();
    let new = members[lost].handle.as_ref().expect("handle").member();
    assert_ne!(old, new);
    wait_for("the joiner to replace the old voter", || {
        let status = status(&members)?;
        let role = |member: MemberId| {
            let found = status.members.iter().find(|body| body.member == member.0);
            found.map(|body| body.role.clone())
        };
        (role(new).as_deref() == Some("voter") && role(old).is_none()).then_some(())
    });
    // With the third member gone, the new one is needed for a quorum.
    let third = 3 - leading - lost;
    members[third].halt();
    wait_for("a leader with the new member's vote", || leader(&members));
}

#[test]
fn an_empty_folder_without_members_to_join_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let mut settings = ControlProcessSettings::single(folder.path().join("new"));
    settings.bootstrap = false;
    let error = start(settings).err().expect("refused");
    assert!(matches!(error, ControlError::NoMembersToJoin));
    assert!(
        error.to_string().contains("millpass control init"),
        "{error}"
    );
}

#[test]
fn a_port_in_use_is_reported() {
    let folder = tempfile::tempdir().expect("folder");
    let taken = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address").to_string();
    let mut settings = ControlProcessSettings::single(folder.path());
    settings.peer_listen = address.clone();
    let error = start(settings).err().expect("refused").to_string();
    assert!(
        error.contains(&address) && error.contains("choose a free address"),
        "{error}"
    );
}

#[test]
fn a_folder_in_use_is_refused_and_its_owner_keeps_running() {
    let folder = tempfile::tempdir().expect("folder");
    let first = start(ControlProcessSettings::single(folder.path())).expect("start");
    let error = start(ControlProcessSettings::single(folder.path()))
        .err()
        .expect("refused");
    assert!(
        error.to_string().contains("in use by another process"),
        "{error}"
    );
    assert!(!first.is_finished());
}

#[test]
fn a_folder_that_cannot_be_created_is_reported() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "not a folder").expect("write");
    let error = start(ControlProcessSettings::single(file.join("data")))
        .err()
        .expect("refused");
    let text = error.to_string();
    assert!(
        text.contains("file/data") && text.contains("data folder"),
        "{text}"
    );
}

#[test]
fn a_lease_that_is_too_long_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let mut settings = ControlProcessSettings::single(folder.path());
    settings.consensus.lease_length = settings.consensus.election_timeout;
    let error = start(settings).err().expect("refused").to_string();
    assert!(error.contains("lower the lease"), "{error}");
}

/// Returns the write-ahead log files in a folder.
fn log_files(folder: &std::path::Path) -> Vec<std::path::PathBuf> {
    let entries = std::fs::read_dir(folder).expect("folder");
    let mut files: Vec<_> = entries
        .map(|entry| entry.expect("entry").path())
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with("log-"))
        })
        .collect();
    files.sort();
    files
}

/// Runs a member until it leads, and returns its newest log file.
fn folder_with_log(folder: &std::path::Path) -> std::path::PathBuf {
    let handle = start(ControlProcessSettings::single(folder)).expect("start");
    wait_for("leader", || {
        let mut router = TestRouter::connect(handle.peer_address(), "router-1").ok()?;
        matches!(router.report().ok()?, ControlToRouter::Update(_)).then_some(())
    });
    handle.halt();
    handle.join().expect("halted");
    log_files(folder).pop().expect("a log file")
}

#[rstest]
#[case::one_byte(1)]
#[case::some_bytes(7)]
fn a_member_starts_with_a_truncated_log(#[case] bytes: u64) {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder_with_log(folder.path());
    let length = std::fs::metadata(&file).expect("file").len();
    let opened = std::fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .expect("open");
    opened.set_len(length - bytes).expect("truncate");
    start(ControlProcessSettings::single(folder.path())).expect("start");
}

#[test]
fn a_corrupt_record_is_refused_and_left_unchanged() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder_with_log(folder.path());
    let mut bytes = std::fs::read(&file).expect("read");
    let last = bytes.len() - 1;
    bytes[last] ^= 0x40;
    std::fs::write(&file, &bytes).expect("write");
    let error = start(ControlProcessSettings::single(folder.path()))
        .err()
        .expect("refused");
    let text = error.to_string();
    assert!(
        text.contains("damaged at byte") && text.contains("Wipe this member's"),
        "{text}"
    );
    assert_eq!(std::fs::read(&file).expect("read"), bytes);
}
