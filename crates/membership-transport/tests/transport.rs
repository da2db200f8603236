//! Tests with several members in one process, on the loopback interface, with ports chosen by the system.
//! Tests wait by polling for a condition, with a timeout that is long enough for a busy machine.
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use copperspread_membership::{
    Effect, Input, Key, MAX_PACKET_BYTES, Member, Membership, MembershipState, Micros, SECOND, Settings,
};
use copperspread_membership_transport::{MembershipTransport, RejectionCounts, TransportConfig};
use socket2::{Domain, Socket, Type};

const MILLISECOND: Micros = SECOND / 1_000;
/// A probe interval at which a failed member is detected within a test.
const FAST_PROBE_INTERVAL: Micros = 200 * MILLISECOND;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the length that precedes a state, in bytes.
const LENGTH_BYTES: usize = 4;

fn key() -> Key {
    Key::new(b"a key for the tests alone").expect("the key should be long enough")
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn config(name: &str, seeds: &[SocketAddr], probe_interval: Micros) -> TransportConfig {
    let seeds = seeds.to_vec();
    let probe_timeout = probe_interval / 3;
    TransportConfig {
        bind_address: loopback(),
        advertised_address: None,
        name: name.into(),
        zone: "arnhem".into(),
        region: "nl".into(),
        membership_settings: Settings { probe_interval, probe_timeout, seeds, ..Settings::default() },
        key: key(),
        seed: 7,
    }
}

fn start(name: &str, seeds: &[SocketAddr], probe_interval: Micros) -> MembershipTransport {
    MembershipTransport::start(config(name, seeds, probe_interval)).expect("the member should start")
}

fn start_with_fast_probes(name: &str, seeds: &[SocketAddr]) -> MembershipTransport {
    start(name, seeds, FAST_PROBE_INTERVAL)
}

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "condition not met within {WAIT_TIMEOUT:?}: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn member_names(transport: &MembershipTransport) -> Vec<String> {
    transport.view().members.iter().map(|member| member.name.clone()).collect()
}

fn wait_for_member_count(transports: &[&MembershipTransport], others: usize) {
    wait_until("every member sees all others", || {
        transports.iter().all(|transport| transport.view().members.len() == others)
    });
}

fn wait_for_absence(transports: &[&MembershipTransport], name: &str) {
    wait_until(&format!("no member sees {name}"), || {
        transports.iter().all(|transport| !member_names(transport).contains(&name.into()))
    });
}

/// Makes a member leave, and asserts that this takes less than 2 s.
fn shut_down_quickly(transport: MembershipTransport) -> copperspread_membership_transport::MembershipView {
    let requested = Instant::now();
    transport.leave();
    let last_view = transport.shutdown();
    assert!(requested.elapsed() < Duration::from_secs(2), "leaving took {:?}", requested.elapsed());
    last_view
}

#[test]
fn joins_deaths_leaves_and_restarts_of_members_are_seen_by_all_others() {
    let a = start_with_fast_probes("a", &[]);
    let seeds = [a.local_address()];
    let [b, c, d, e] = ["b", "c", "d", "e"].map(|name| start_with_fast_probes(name, &seeds));
    wait_for_member_count(&[&a, &b, &c, &d, &e], 4);
    assert_eq!(member_names(&a), ["b", "c", "d", "e"], "members should be sorted by name");

    let old = d.view().local_member;
    drop(d);
    wait_for_absence(&[&a, &b, &c, &e], "d");

    assert_eq!(shut_down_quickly(e).local_member.name, "e");
    wait_for_absence(&[&a, &b, &c], "e");

    let restarted = TransportConfig { bind_address: old.address, ..config("d", &seeds, FAST_PROBE_INTERVAL) };
    let restarted = MembershipTransport::start(restarted).expect("the member should start on the same port");
    wait_for_member_count(&[&a, &b, &c, &restarted], 3);
    let new = a.view().members.iter().find(|member| member.name == "d").cloned().expect("d should be listed");
    assert!(
        new.generation > old.generation && new.address == old.address,
        "new identity {new:?} after {old:?}"
    );

    let json = serde_json::to_value(a.view()).expect("the view should be serializable");
    assert_eq!(json["own"]["name"], "a");
    assert_eq!(json["members"].as_array().map(Vec::len), Some(3));
    for key in ["address", "generation", "name", "region", "returned", "zone"] {
        assert!(!json["members"][0][key].is_null(), "{key} is missing");
    }
    assert_eq!(json["rejected"]["forged"], 0);
    assert!(json["packets_in"].as_u64() > Some(0) && json["bytes_out"].as_u64() > Some(0));
}

/// Reserves a free port of the loopback interface for UDP and for TCP. The UDP socket must be dropped before
/// a member binds the port. The TCP socket does not listen and allows the member to bind the port as well, so
/// it can be held until the member has started.
fn reserve_port() -> (UdpSocket, Socket) {
    loop {
        let udp = UdpSocket::bind(loopback()).expect("a port should be free");
        let address = udp.local_addr().expect("the socket should have an address");
        let tcp = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket should be created");
        tcp.set_reuse_address(true).expect("the option should be set");
        // The same port may be taken for TCP although it is free for UDP.
        if tcp.bind(&address.into()).is_ok() {
            return (udp, tcp);
        }
    }
}

#[test]
fn seeds_that_are_down_at_the_start_are_found_once_they_are_up() {
    let (reserved_port, _reserved_tcp_port) = reserve_port();
    let seed_address = reserved_port.local_addr().expect("the socket should have an address");
    let (a, b) = (start_with_fast_probes("a", &[seed_address]), start_with_fast_probes("b", &[seed_address]));
    // Wait until both members have announced themselves to the seed.
    let mut buffer = [0; MAX_PACKET_BYTES];
    let mut announced = BTreeSet::new();
    reserved_port.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout should be set");
    while announced.len() < 2 {
        announced.insert(reserved_port.recv_from(&mut buffer).expect("an announcement should arrive").1);
    }
    assert!(a.view().members.is_empty() && b.view().members.is_empty());
    drop(reserved_port);
    let seed = TransportConfig { bind_address: seed_address, ..config("seed", &[], FAST_PROBE_INTERVAL) };
    let seed = MembershipTransport::start(seed).expect("the member should start on the same port");
    wait_for_member_count(&[&a, &b, &seed], 2);
}

fn unreachable_member(number: u16) -> Member {
    let name = format!("crowd-{number}-{}", "x".repeat(40));
    let address = SocketAddr::from(([127, 9, (number >> 8) as u8, number as u8], 9));
    Member { name, zone: "z".into(), region: "r".into(), address, generation: 1, rejoins: 0 }
}

/// The first of `count` members, without sockets, which knows the others by one announcement each. No process
/// runs at the addresses of these members.
fn unreachable_cluster(count: u16) -> Membership {
    let new_member = |number, seeds| {
        let settings = Settings { seeds, ..Settings::default() };
        Membership::new(unreachable_member(number), settings, key(), 1).expect("the settings should be valid")
    };
    let mut first = new_member(0, vec![]);
    for number in 1..count {
        let mut other = new_member(number, vec![unreachable_member(0).address]);
        let (mut announcements, mut ignored) = (Vec::new(), Vec::new());
        other.handle(0, Input::TimerDue, &mut announcements).expect("a timer should be handled");
        for effect in announcements {
            if let Effect::SendPacket { packet, .. } = effect {
                first
                    .handle(0, Input::Packet(&packet), &mut ignored)
                    .expect("the announcement should be accepted");
            }
        }
    }
    first
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the member should accept a stream");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout should be set");
    stream
}

/// A sealed state preceded by its length.
fn length_prefixed(frame: &[u8]) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes(), frame].concat()
}

#[test]
fn a_member_list_larger_than_a_packet_arrives_over_a_stream() {
    // The interval is so long that no member is probed during the test: the listed members do not exist, and
    // would be declared dead.
    let start_with_slow_probes = |name, seeds: &[SocketAddr]| start(name, seeds, 600 * SECOND);
    let a = start_with_slow_probes("a", &[]);
    let state = unreachable_cluster(400).state();
    assert_eq!(state.member_count(), 400);
    let frame = state.seal(&key());
    assert!(frame.len() > 10 * MAX_PACKET_BYTES, "the state has only {} bytes", frame.len());
    let mut stream = connect(a.local_address());
    stream.write_all(&length_prefixed(&frame)).expect("the state should be sent");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("a reply should be read");
    let reply_state =
        MembershipState::open(&key(), &reply[LENGTH_BYTES..]).expect("the reply should be a state");
    assert_eq!(
        reply_state.member_count(),
        401,
        "the reply should hold the members sent and the replying member"
    );
    wait_until("member a lists the members sent to it", || a.view().members.len() == 400);
    // A member that joins learns of all members in its first state exchange. A packet holds only about
    // twenty.
    let b = start_with_slow_probes("b", &[a.local_address()]);
    wait_until("member b lists all members", || b.view().members.len() == 401);
    assert_eq!(b.drop_counts(), Default::default());
    // Without an advertised address, peers reach the member at the address that it is bound to.
    assert_eq!(b.view().local_member.address, b.local_address());
}

#[test]
fn states_too_large_for_a_packet_are_exchanged_every_30_s() {
    let exchange_count = |mut membership: Membership| {
        let (mut effects, mut now) = (Vec::new(), 0);
        while now < 31 * SECOND {
            membership.handle(now, Input::TimerDue, &mut effects).expect("a timer should be handled");
            now = membership.next_due().expect("a timer should be pending");
        }
        effects.iter().filter(|effect| matches!(effect, Effect::ExchangeState(_))).count()
    };
    assert_eq!((exchange_count(unreachable_cluster(5)), exchange_count(unreachable_cluster(400))), (0, 1));
}

/// Sends packets to a member, and waits until it has rejected all of them.
fn send_rejected(socket: &UdpSocket, transport: &MembershipTransport, packets: &[&[u8]]) {
    let total =
        |counts: RejectionCounts| counts.malformed + counts.too_large + counts.forged + counts.other_version;
    let before = total(transport.view().rejected);
    for packet in packets {
        socket.send_to(packet, transport.local_address()).expect("the packet should be sent");
    }
    wait_until("all packets are rejected", || {
        total(transport.view().rejected) == before + packets.len() as u64
    });
}

/// Sends bytes to a member over a stream, and returns its reply.
fn reply_to(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("the bytes should be sent");
    // An error is ignored, because the member may have closed the stream already.
    let _ = stream.shutdown(Shutdown::Write);
    let mut reply = Vec::new();
    // An error is ignored, because the stream is reset if the member left bytes unread.
    let _ = stream.read_to_end(&mut reply);
    reply
}

#[test]
fn forged_too_large_and_malformed_input_is_counted_and_changes_nothing() {
    // With this interval, no member is declared dead even on a busy machine.
    let a = start("a", &[], 2 * SECOND);
    let b = start("b", &[a.local_address()], 2 * SECOND);
    wait_for_member_count(&[&a, &b], 1);
    let before = a.view();
    let socket = UdpSocket::bind(loopback()).expect("a port should be free");
    let forged: Vec<[u8; 200]> = (0..=255).map(|first| [first; 200]).collect();
    // The packets are sent in small groups, because the system drops those that its buffer does not hold.
    for group in forged.chunks(32) {
        send_rejected(&socket, &a, &group.iter().map(|packet| &packet[..]).collect::<Vec<_>>());
    }
    send_rejected(&socket, &a, &[&[], &[7], &[7; 32]]);
    send_rejected(&socket, &a, &[&[1; MAX_PACKET_BYTES + 1], &[1; 60_000]]);
    // A sealed state is not accepted as a packet, although it has the right key.
    let small_state = unreachable_cluster(2).state();
    send_rejected(&socket, &a, &[&small_state.seal(&key())]);
    let rejected = a.view().rejected;
    assert_eq!((rejected.malformed, rejected.too_large), (3, 2), "{rejected:?}");
    assert_eq!((rejected.forged, rejected.other_version), (256, 1), "{rejected:?}");

    let other_key = Key::new(b"another key than theirs").expect("the key should be long enough");
    let mut truncated = length_prefixed(&small_state.seal(&key()));
    truncated.truncate(truncated.len() - 1);
    let invalid_streams: [Vec<u8>; 5] = [
        vec![255; 64],
        length_prefixed(&small_state.seal(&other_key)),
        length_prefixed(&[0x81; 20]),
        truncated,
        b"GET /-/cluster HTTP/1.1\r\n\r\n".to_vec(),
    ];
    for bytes in &invalid_streams {
        assert!(reply_to(a.local_address(), bytes).is_empty(), "{bytes:?} got a reply");
    }
    let rejected = a.view().rejected;
    // The bytes "GET ", read as a length, exceed the maximum.
    assert_eq!((rejected.too_large, rejected.forged, rejected.malformed), (4, 257, 4), "{rejected:?}");
    // The truncated stream is counted after its connection is closed.
    wait_until("a failed stream is counted", || a.drop_counts().streams_failed > 0);
    assert_eq!(a.drop_counts().streams_failed, 1, "only the truncated stream should have failed");
    let after = a.view();
    assert_eq!((&after.local_member, &after.members), (&before.local_member, &before.members));
}

#[test]
fn slow_streams_delay_only_other_streams() {
    let a = start_with_fast_probes("a", &[]);
    let silent_streams: Vec<TcpStream> = (0..30).map(|_| connect(a.local_address())).collect();
    wait_until("a stream is rejected", || a.drop_counts().streams_rejected > 0);
    let b = start_with_fast_probes("b", &[a.local_address()]);
    wait_for_member_count(&[&a, &b], 1);
    // The time limit frees the stream threads although the silent streams stay open.
    let frame = length_prefixed(&unreachable_cluster(2).state().seal(&key()));
    wait_until("a stream is served", || {
        let mut stream = connect(a.local_address());
        let mut reply = Vec::new();
        let exchanged = stream.write_all(&frame).and_then(|()| stream.read_to_end(&mut reply));
        exchanged.is_ok() && !reply.is_empty()
    });
    let mut unfinished_stream = connect(a.local_address());
    unfinished_stream.write_all(&[0, 0]).expect("the bytes should be sent");
    shut_down_quickly(a);
    drop((silent_streams, unfinished_stream));
}

#[test]
fn start_fails_for_an_address_in_use_a_long_name_and_invalid_settings() {
    let a = start_with_fast_probes("a", &[]);
    let error_text = |config| MembershipTransport::start(config).err().map(|error| error.to_string());
    let address_in_use = TransportConfig { bind_address: a.local_address(), ..config("b", &[], SECOND) };
    assert!(error_text(address_in_use).is_some_and(|text| text.contains(&a.local_address().to_string())));
    let long_name = config(&"n".repeat(65), &[], SECOND);
    assert!(error_text(long_name).is_some_and(|text| text.contains("64")));
    let zero_interval = config("c", &[], 0);
    assert!(error_text(zero_interval).is_some_and(|text| text.contains("interval")));
}
