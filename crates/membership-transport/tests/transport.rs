//! Several members in one process, on loopback, with ports from the system. Each wait polls for a condition, within a
//! bound that a busy machine keeps.
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use copperspread_membership::{
    Effect, Input, Key, MAX_PACKET_BYTES, Member, Membership, MembershipState, Micros, SECOND, Settings,
};
use copperspread_membership_transport::{MembershipTransport, RejectionCounts, TransportConfig};

const MILLISECOND: Micros = SECOND / 1_000;
/// Fast enough that a death is detected within a test.
const FAST_PROBES: Micros = 200 * MILLISECOND;
const BOUND: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The length before a state.
const LENGTH_BYTES: usize = 4;

fn key() -> Key {
    Key::new(b"a key for the tests alone").expect("a key")
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
    MembershipTransport::start(config(name, seeds, probe_interval)).expect("a member")
}

fn start_fast(name: &str, seeds: &[SocketAddr]) -> MembershipTransport {
    start(name, seeds, FAST_PROBES)
}

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < deadline, "not seen in {BOUND:?}: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn member_names(transport: &MembershipTransport) -> Vec<String> {
    transport.view().members.iter().map(|member| member.name.clone()).collect()
}

fn wait_for_member_count(transports: &[&MembershipTransport], others: usize) {
    wait_until("all see all", || transports.iter().all(|transport| transport.view().members.len() == others));
}

fn wait_for_absence(transports: &[&MembershipTransport], name: &str) {
    wait_until(&format!("nobody sees {name}"), || {
        transports.iter().all(|transport| !member_names(transport).contains(&name.into()))
    });
}

/// Lets a member leave, which must take less than 2 s.
fn shut_down_quickly(transport: MembershipTransport) -> copperspread_membership_transport::MembershipView {
    let requested = Instant::now();
    transport.leave();
    let last_view = transport.shutdown();
    assert!(requested.elapsed() < Duration::from_secs(2), "the leaving took {:?}", requested.elapsed());
    last_view
}

#[test]
fn joins_deaths_leaves_and_restarts_of_members_are_seen_by_all_others() {
    let a = start_fast("a", &[]);
    let seeds = [a.local_address()];
    let [b, c, d, e] = ["b", "c", "d", "e"].map(|name| start_fast(name, &seeds));
    wait_for_member_count(&[&a, &b, &c, &d, &e], 4);
    assert_eq!(member_names(&a), ["b", "c", "d", "e"], "by name");

    let old = d.view().local_member;
    drop(d);
    wait_for_absence(&[&a, &b, &c, &e], "d");

    assert_eq!(shut_down_quickly(e).local_member.name, "e");
    wait_for_absence(&[&a, &b, &c], "e");

    let restarted = TransportConfig { bind_address: old.address, ..config("d", &seeds, FAST_PROBES) };
    let restarted = MembershipTransport::start(restarted).expect("the port");
    wait_for_member_count(&[&a, &b, &c, &restarted], 3);
    let new = a.view().members.iter().find(|member| member.name == "d").cloned().expect("d");
    assert!(new.generation > old.generation && new.address == old.address, "{new:?} after {old:?}");

    let json = serde_json::to_value(a.view()).expect("JSON");
    assert_eq!(json["own"]["name"], "a");
    assert_eq!(json["members"].as_array().map(Vec::len), Some(3));
    for key in ["address", "generation", "name", "region", "returned", "zone"] {
        assert!(!json["members"][0][key].is_null(), "{key}");
    }
    assert_eq!(json["rejected"]["forged"], 0);
    assert!(json["packets_in"].as_u64() > Some(0) && json["bytes_out"].as_u64() > Some(0));
}

#[test]
fn seeds_that_are_down_at_the_start_are_found_once_they_are_up() {
    let reserved_port = UdpSocket::bind(loopback()).expect("a port");
    let seed_address = reserved_port.local_addr().expect("an address");
    let (a, b) = (start_fast("a", &[seed_address]), start_fast("b", &[seed_address]));
    // Both have announced themselves.
    let mut buffer = [0; MAX_PACKET_BYTES];
    let mut announced = BTreeSet::new();
    reserved_port.set_read_timeout(Some(BOUND)).expect("a limit");
    while announced.len() < 2 {
        announced.insert(reserved_port.recv_from(&mut buffer).expect("a packet").1);
    }
    assert!(a.view().members.is_empty() && b.view().members.is_empty());
    drop(reserved_port);
    let seed = TransportConfig { bind_address: seed_address, ..config("seed", &[], FAST_PROBES) };
    let seed = MembershipTransport::start(seed).expect("the port");
    wait_for_member_count(&[&a, &b, &seed], 2);
}

fn crowd_member(number: u16) -> Member {
    let name = format!("crowd-{number}-{}", "x".repeat(40));
    let address = SocketAddr::from(([127, 9, (number >> 8) as u8, number as u8], 9));
    Member { name, zone: "z".into(), region: "r".into(), address, generation: 1, rejoins: 0 }
}

/// The first of so many members, which knows the others by one announcement each. None of them runs.
fn crowd(count: u16) -> Membership {
    let new_member = |number, seeds| {
        let settings = Settings { seeds, ..Settings::default() };
        Membership::new(crowd_member(number), settings, key(), 1).expect("settings")
    };
    let mut first = new_member(0, vec![]);
    for number in 1..count {
        let mut other = new_member(number, vec![crowd_member(0).address]);
        let (mut announcements, mut ignored) = (Vec::new(), Vec::new());
        other.handle(0, Input::TimerDue, &mut announcements).expect("the time");
        for effect in announcements {
            if let Effect::SendPacket { packet, .. } = effect {
                first.handle(0, Input::Packet(&packet), &mut ignored).expect("a packet");
            }
        }
    }
    first
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a stream");
    stream.set_read_timeout(Some(BOUND)).expect("a limit");
    stream
}

/// A sealed state with the length before it.
fn with_length(frame: &[u8]) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes(), frame].concat()
}

#[test]
fn a_member_list_larger_than_a_packet_arrives_over_a_stream() {
    // Nobody is probed while this runs: the crowd does not exist.
    let start_slow = |name, seeds: &[SocketAddr]| start(name, seeds, 600 * SECOND);
    let a = start_slow("a", &[]);
    let state = crowd(400).state();
    assert_eq!(state.member_count(), 400);
    let frame = state.seal(&key());
    assert!(frame.len() > 10 * MAX_PACKET_BYTES, "{} bytes", frame.len());
    let mut stream = connect(a.local_address());
    stream.write_all(&with_length(&frame)).expect("room");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let answered = MembershipState::open(&key(), &answer[LENGTH_BYTES..]).expect("a state");
    assert_eq!(answered.member_count(), 401, "the answer holds what was sent, and the one that answers");
    wait_until("the crowd", || a.view().members.len() == 400);
    // One that joins learns of all within its first exchange; a packet names some twenty.
    let b = start_slow("b", &[a.local_address()]);
    wait_until("the crowd at the newcomer", || b.view().members.len() == 401);
    assert_eq!(b.drop_counts(), Default::default());
    // Each is bound to the port of its packets.
    assert_eq!(b.view().local_member.address, b.local_address());
}

#[test]
fn whole_states_are_exchanged_each_30_s_where_a_packet_could_not_hold_them() {
    let exchanges = |mut membership: Membership| {
        let (mut effects, mut now) = (Vec::new(), 0);
        while now < 31 * SECOND {
            membership.handle(now, Input::TimerDue, &mut effects).expect("the time");
            now = membership.next_due().expect("timers");
        }
        effects.iter().filter(|effect| matches!(effect, Effect::ExchangeState(_))).count()
    };
    assert_eq!((exchanges(crowd(5)), exchanges(crowd(400))), (0, 1));
}

/// Sends packets, and waits until all were rejected.
fn send_rejected(socket: &UdpSocket, transport: &MembershipTransport, packets: &[&[u8]]) {
    let total =
        |counts: RejectionCounts| counts.malformed + counts.too_large + counts.forged + counts.other_version;
    let before = total(transport.view().rejected);
    for packet in packets {
        socket.send_to(packet, transport.local_address()).expect("a packet");
    }
    wait_until("all packets", || total(transport.view().rejected) == before + packets.len() as u64);
}

/// Sends bytes over a stream, and gives what was answered.
fn answer_to(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("room");
    // The other side may have closed already.
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    // A reset will do, where bytes were left unread.
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn forged_too_large_and_malformed_input_is_counted_and_changes_nothing() {
    // Slow enough that a busy machine declares nobody dead.
    let a = start("a", &[], 2 * SECOND);
    let b = start("b", &[a.local_address()], 2 * SECOND);
    wait_for_member_count(&[&a, &b], 1);
    let before = a.view();
    let socket = UdpSocket::bind(loopback()).expect("a port");
    let forged: Vec<[u8; 200]> = (0..=255).map(|first| [first; 200]).collect();
    // Few at a time: the system drops what its buffer does not hold.
    for some in forged.chunks(32) {
        send_rejected(&socket, &a, &some.iter().map(|packet| &packet[..]).collect::<Vec<_>>());
    }
    send_rejected(&socket, &a, &[&[], &[7], &[7; 32]]);
    send_rejected(&socket, &a, &[&[1; MAX_PACKET_BYTES + 1], &[1; 60_000]]);
    // A state is no packet, though the key is right.
    let small_state = crowd(2).state();
    send_rejected(&socket, &a, &[&small_state.seal(&key())]);
    let rejected = a.view().rejected;
    assert_eq!((rejected.malformed, rejected.too_large), (3, 2), "{rejected:?}");
    assert_eq!((rejected.forged, rejected.other_version), (256, 1), "{rejected:?}");

    let other_key = Key::new(b"another key than theirs").expect("a key");
    let mut truncated = with_length(&small_state.seal(&key()));
    truncated.truncate(truncated.len() - 1);
    let bad_streams: [Vec<u8>; 5] = [
        vec![255; 64],
        with_length(&small_state.seal(&other_key)),
        with_length(&[0x81; 20]),
        truncated,
        b"GET /-/cluster HTTP/1.1\r\n\r\n".to_vec(),
    ];
    for bytes in &bad_streams {
        assert!(answer_to(a.local_address(), bytes).is_empty(), "{bytes:?} was answered");
    }
    let rejected = a.view().rejected;
    // "GET " read as a length is too large.
    assert_eq!((rejected.too_large, rejected.forged, rejected.malformed), (4, 257, 4), "{rejected:?}");
    // It is counted after its connection is closed.
    wait_until("a failed stream is counted", || a.drop_counts().streams_failed > 0);
    assert_eq!(a.drop_counts().streams_failed, 1, "the truncated one");
    let after = a.view();
    assert_eq!((&after.local_member, &after.members), (&before.local_member, &before.members));
}

#[test]
fn slow_streams_delay_other_streams_and_nothing_else() {
    let a = start_fast("a", &[]);
    let silent: Vec<TcpStream> = (0..30).map(|_| connect(a.local_address())).collect();
    wait_until("streams rejected", || a.drop_counts().streams_rejected > 0);
    let b = start_fast("b", &[a.local_address()]);
    wait_for_member_count(&[&a, &b], 1);
    // The threads come free by the time limit, though the silent streams stay open.
    let frame = with_length(&crowd(2).state().seal(&key()));
    wait_until("a served stream", || {
        let mut stream = connect(a.local_address());
        let mut answer = Vec::new();
        let exchanged = stream.write_all(&frame).and_then(|()| stream.read_to_end(&mut answer));
        exchanged.is_ok() && !answer.is_empty()
    });
    let mut unfinished = connect(a.local_address());
    unfinished.write_all(&[0, 0]).expect("room");
    shut_down_quickly(a);
    drop((silent, unfinished));
}

#[test]
fn a_taken_address_a_long_name_and_bad_settings_are_errors_at_the_start() {
    let a = start_fast("a", &[]);
    let error_text = |config| MembershipTransport::start(config).err().map(|error| error.to_string());
    let taken = TransportConfig { bind_address: a.local_address(), ..config("b", &[], SECOND) };
    assert!(error_text(taken).is_some_and(|text| text.contains(&a.local_address().to_string())));
    let long_name = config(&"n".repeat(65), &[], SECOND);
    assert!(error_text(long_name).is_some_and(|text| text.contains("64")));
    let no_interval = config("c", &[], 0);
    assert!(error_text(no_interval).is_some_and(|text| text.contains("interval")));
}
