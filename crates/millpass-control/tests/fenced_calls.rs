//! A member that stops leading aborts its calls in flight. Without that, the kernel delivers a call
//! that was written into a partition when the partition ends. The call here is a read of the
//! platform's list; all calls share the same connections. Its own time lasts longer than the test.

mod common;

use common::{TestMember, group, start_all, wait_for};
use millpass_proto::Duration;
use rstest::rstest;
use socket2::{SockFilter, SockRef};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// Longer than the test.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the leader reads the list once more.
const READ_TIME: Duration = Duration::from_secs(2);
/// Longer than the lease.
const LEASE_TIME: Duration = Duration::from_secs(1);
/// Longer than the wait before the kernel's next retransmission, which is about as long as the
/// partition.
const AFTER_PARTITION: Duration = Duration::from_secs(6);
/// `BPF_RET` with zero bytes to keep.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Reads until nothing arrives for a time or the connection ends.
fn read_for(stream: &mut TcpStream, time: Duration) -> String {
    stream.set_read_timeout(Some(time)).expect("timeout");
    let mut found = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        found.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&found).into_owned()
}

/// Answers one read of the list, and partitions the connection before the next one.
fn partition_after_one_read(platform: &TcpListener) -> TcpStream {
    let (mut stream, _) = platform.accept().expect("accept");
    let mut found = Vec::new();
    while !found.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("request");
        found.push(byte[0]);
    }
    let socket = SockRef::from(&stream);
    socket.attach_filter(&[DROP_ALL]).expect("filter");
    let body = "{\"sequence\":1,\"machines\":[]}";
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).expect("response");
    stream
}

/// Ends the quorum of the leader, so that its lease expires.
fn halt_followers(members: &mut [TestMember], leader: usize) {
    for (number, member) in members.iter_mut().enumerate() {
        if number != leader {
            member.halt();
        }
    }
    thread::sleep(LEASE_TIME);
}

fn halt_leader(members: &mut [TestMember], leader: usize) {
    members[leader].halt();
    // No successor, which would read the list as well.
    halt_followers(members, leader);
}

#[rstest]
#[case::lease_expires(halt_followers)]
#[case::member_ends(halt_leader)]
fn call_in_flight_is_aborted_when_the_member_stops_leading(
    #[case] stop_leading: fn(&mut [TestMember], usize),
) {
    let platform = TcpListener::bind("127.0.0.1:0").expect("bind");
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    for member in &mut members {
        member.settings.platform_address = Some(platform.local_addr().expect("at").to_string());
        member.settings.limits.call_timeout = CALL_TIMEOUT;
    }
    start_all(&mut members);
    let (leader, _) = wait_for("leader", || common::leader(&members));
    let mut stream = partition_after_one_read(&platform);
    thread::sleep(READ_TIME);
    stop_leading(&mut members, leader);
    SockRef::from(&stream).detach_filter().expect("no filter");
    assert_eq!(read_for(&mut stream, AFTER_PARTITION), "");
}
