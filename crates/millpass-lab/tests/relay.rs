//! Relays forward data, buffer it during cuts, and limit connections. Timing is not tested.

use millpass_lab::relay::{
    LinkSettings, PathKey, PathSettings, PathTable, Relay, RelaySettings, SourceRule, UNKNOWN_ZONE,
};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Read timeout for expected bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without data after which a connection counts as idle.
const IDLE_TIME: Duration = Duration::from_millis(150);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn relay_to(target: SocketAddr, source: SourceRule, maximum_connections: usize) -> Relay {
    let quick = PathSettings {
        delay_micros: 500,
        jitter_micros: 100,
    };
    Relay::start(&RelaySettings {
        control_listen: any_port(),
        maximum_connections,
        within_zone: quick,
        between_zones: quick,
        paths: Vec::new(),
        links: vec![LinkSettings {
            name: "link".to_owned(),
            listen: any_port(),
            target,
            target_zone: "b".to_owned(),
            source,
        }],
    })
    .expect("a relay")
}

struct Ends {
    relay: Relay,
    near: TcpStream,
    far: TcpStream,
}

fn connected(source: SourceRule) -> Ends {
    let listener = TcpListener::bind(any_port()).expect("a listener");
    let target = listener.local_addr().expect("an address");
    let relay = relay_to(target, source, 8);
    let near = connect(&relay);
    let (far, _) = listener.accept().expect("accepted");
    far.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    Ends { relay, near, far }
}

fn connect(relay: &Relay) -> TcpStream {
    let address = relay.address("link").expect("the link");
    let stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    stream
}

fn zone_a() -> SourceRule {
    SourceRule::Zone("a".to_owned())
}

fn read_exactly(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("bytes in time");
    bytes
}

fn assert_no_data(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(IDLE_TIME)).expect("set");
    let error = stream.read(&mut [0]).expect_err("nothing may come");
    assert!(matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut
    ));
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
}

#[test]
fn bytes_are_forwarded_in_order_with_end_of_file() {
    let mut ends = connected(zone_a());
    let sent: Vec<u8> = (0..200_000_u32)
        .map(|number| (number % 251) as u8)
        .collect();
    let copy = sent.clone();
    let mut writing = ends.near.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || {
        writing.write_all(&copy).expect("written");
        writing.shutdown(std::net::Shutdown::Write).expect("ended");
    });
    let mut received = Vec::new();
    ends.far
        .read_to_end(&mut received)
        .expect("read to the end");
    writer.join().expect("joined");
    assert!(received == sent);
    ends.far.write_all(b"back").expect("written");
    assert_eq!(read_exactly(&mut ends.near, 4), b"back");
}

#[test]
fn bytes_sent_during_a_cut_arrive_after_it_heals() {
    let mut ends = connected(zone_a());
    let pair = PathKey::new("a", "*");
    ends.relay.paths().cut(&pair, false);
    ends.near.write_all(b"held").expect("written");
    ends.far.write_all(b"also").expect("written");
    assert_no_data(&mut ends.far);
    assert_no_data(&mut ends.near);
    ends.relay.paths().heal(&pair);
    assert_eq!(read_exactly(&mut ends.far, 4), b"held");
    assert_eq!(read_exactly(&mut ends.near, 4), b"also");
}

#[test]
fn a_one_way_cut_keeps_the_other_direction_open() {
    let mut ends = connected(zone_a());
    ends.relay.paths().cut(&PathKey::new("a", "b"), true);
    ends.near.write_all(b"held").expect("written");
    ends.far.write_all(b"open").expect("written");
    assert_eq!(read_exactly(&mut ends.near, 4), b"open");
    assert_no_data(&mut ends.far);
    ends.relay.paths().heal_all();
    assert_eq!(read_exactly(&mut ends.far, 4), b"held");
}

#[test]
fn a_new_connection_during_a_cut_is_established_after_it_heals() {
    let listener = TcpListener::bind(any_port()).expect("a listener");
    let relay = relay_to(listener.local_addr().expect("an address"), zone_a(), 8);
    relay.paths().cut(&PathKey::new("a", "b"), false);
    let mut near = connect(&relay);
    near.write_all(b"first").expect("written");
    assert_eq!(relay.status().links[0].forward_bytes, 0);
    relay.paths().heal_all();
    let (mut far, _) = listener.accept().expect("accepted");
    far.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    assert_eq!(read_exactly(&mut far, 5), b"first");
}

#[test]
fn connections_beyond_the_limit_are_closed_and_counted() {
    let listener = TcpListener::bind(any_port()).expect("a listener");
    let relay = relay_to(listener.local_addr().expect("an address"), zone_a(), 1);
    let _first = connect(&relay);
    let _accepted = listener.accept().expect("the first goes through");
    let mut second = connect(&relay);
    assert_eq!(second.read(&mut [0]).expect("closed"), 0);
    assert_eq!(relay.status().refused_connections, 1);
}

#[test]
fn an_unreachable_target_closes_the_connection() {
    // The port stays bound without listening, so that no other test can reuse it.
    let gone = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    gone.bind(&any_port().into()).expect("bound");
    let target = gone.local_addr().ok().and_then(|local| local.as_socket());
    let target = target.expect("an address");
    let relay = relay_to(target, zone_a(), 8);
    let mut near = connect(&relay);
    match near.read(&mut [0]) {
        Ok(count) => assert_eq!(count, 0),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
}

#[test]
fn the_zone_of_a_registered_process_is_found() {
    let listener = TcpListener::bind(any_port()).expect("a listener");
    let target = listener.local_addr().expect("an address");
    let relay = relay_to(target, SourceRule::Process, 8);
    let own = i32::try_from(std::process::id()).expect("a process id");
    assert!(relay.sources().set(own, "a"));
    let mut near = connect(&relay);
    let (mut far, _) = listener.accept().expect("accepted");
    relay.paths().cut(&PathKey::new("a", "b"), true);
    near.write_all(b"held").expect("written");
    assert_no_data(&mut far);
    relay.paths().heal_all();
    far.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    assert_eq!(read_exactly(&mut far, 4), b"held");
    assert_eq!(relay.status().links[0].unknown_sources, 0);
}

#[test]
fn an_unregistered_process_counts_as_unknown() {
    let listener = TcpListener::bind(any_port()).expect("a listener");
    let target = listener.local_addr().expect("an address");
    let relay = relay_to(target, SourceRule::Process, 8);
    let _near = connect(&relay);
    listener.accept().expect("it still goes through");
    assert_eq!(relay.status().links[0].unknown_sources, 1);
}

#[rstest]
#[case::named("a", "b", "a", "b", true)]
#[case::other_way("a", "b", "b", "a", false)]
#[case::any_target("a", "*", "a", "c", true)]
#[case::any_source("*", "a", "c", "a", true)]
#[case::not_inside("a", "*", "a", "a", false)]
#[case::inside_by_name("a", "a", "a", "a", true)]
#[case::unknown_is_outside("a", "*", "a", UNKNOWN_ZONE, true)]
fn patterns_match_pairs(
    #[case] from: &str,
    #[case] to: &str,
    #[case] pair_from: &str,
    #[case] pair_to: &str,
    #[case] covered: bool,
) {
    let pattern = PathKey::new(from, to);
    assert_eq!(pattern.covers(&PathKey::new(pair_from, pair_to)), covered);
}

#[test]
fn delays_follow_the_pair() {
    let delay = |delay_micros| PathSettings {
        delay_micros,
        jitter_micros: 0,
    };
    let table = PathTable::new(delay(50), delay(1_500));
    table.set(PathKey::new("a", "b"), delay(9));
    assert_eq!(table.settings(&PathKey::new("a", "a")), delay(50));
    assert_eq!(table.settings(&PathKey::new("b", "a")), delay(1_500));
    assert_eq!(table.settings(&PathKey::new("a", "b")), delay(9));
}
