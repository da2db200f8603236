//! Some members in one process, on loopback, with ports from the system. Waits are for what is to be seen, each
//! within a bound that a busy machine keeps.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use copperspread_membership::*;
use copperspread_membership_transport::{MembershipTransport, TransportConfig};

const MS: Micros = SECOND / 1_000;
const BOUND: Duration = Duration::from_secs(30);

fn key() -> Key {
    Key::new(b"a key for the tests alone").expect("a key")
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Probes of this interval.
fn spec(name: &str, seeds: &[SocketAddr], probe_interval: Micros) -> TransportConfig {
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

fn begin(name: &str, seeds: &[SocketAddr]) -> MembershipTransport {
    MembershipTransport::start(spec(name, seeds, 200 * MS)).expect("a member")
}

fn until(what: &str, mut seen: impl FnMut() -> bool) {
    let by = Instant::now() + BOUND;
    while !seen() {
        assert!(Instant::now() < by, "not seen in {BOUND:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn names(of: &MembershipTransport) -> Vec<String> {
    of.view().members.iter().map(|of| of.name.clone()).collect()
}

fn all_see(all: &[&MembershipTransport], others: usize) {
    until("all see all", || all.iter().all(|of| of.view().members.len() == others));
}

#[test]
fn members_join_and_one_that_is_killed_one_that_leaves_and_one_that_restarts_are_noticed() {
    let a = begin("a", &[]);
    let seeds = [a.local_address()];
    let [b, c, d, e] = ["b", "c", "d", "e"].map(|name| begin(name, &seeds));
    all_see(&[&a, &b, &c, &d, &e], 4);
    assert_eq!(names(&a), ["b", "c", "d", "e"], "by name");

    let old = d.view().local_member;
    drop(d);
    until("d's death", || [&a, &b, &c, &e].iter().all(|of| !names(of).contains(&"d".into())));

    let asked = Instant::now();
    e.leave();
    let last = e.shutdown();
    assert!(asked.elapsed() < Duration::from_secs(2), "the leaving took {:?}", asked.elapsed());
    assert_eq!(last.local_member.name, "e");
    until("e's leaving", || [&a, &b, &c].iter().all(|of| !names(of).contains(&"e".into())));

    let again = MembershipTransport::start(TransportConfig {
        bind_address: old.address,
        ..spec("d", &seeds, 200 * MS)
    })
    .expect("the port");
    all_see(&[&a, &b, &c, &again], 3);
    let new = a.view().members.iter().find(|of| of.name == "d").cloned().expect("d");
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
    let place = UdpSocket::bind(loopback()).expect("a port");
    let seed = place.local_addr().expect("an address");
    let (a, b) = (begin("a", &[seed]), begin("b", &[seed]));
    // Both have asked.
    let mut buffer = [0; MAX_PACKET_BYTES];
    let mut asked = std::collections::BTreeSet::new();
    place.set_read_timeout(Some(BOUND)).expect("a limit");
    while asked.len() < 2 {
        asked.insert(place.recv_from(&mut buffer).expect("a packet").1);
    }
    assert!(a.view().members.is_empty() && b.view().members.is_empty());
    drop(place);
    let seed =
        MembershipTransport::start(TransportConfig { bind_address: seed, ..spec("seed", &[], 200 * MS) })
            .expect("the port");
    all_see(&[&a, &b, &seed], 2);
}

/// So many members that only a list knows.
fn crowd(count: u16) -> Membership {
    let member = |number: u16| {
        let name = format!("crowd-{number}-{}", "x".repeat(40));
        let address = SocketAddr::from(([127, 9, (number >> 8) as u8, number as u8], 9));
        Member { name, zone: "z".into(), region: "r".into(), address, generation: 1, rejoins: 0 }
    };
    let settings = |seeds| Settings { seeds, ..Settings::default() };
    let mut first = Membership::new(member(0), settings(vec![]), key(), 1).expect("settings");
    for number in 1..count {
        let seeds = settings(vec![member(0).address]);
        let mut one = Membership::new(member(number), seeds, key(), 1).expect("settings");
        let (mut effects, mut none) = (Vec::new(), Vec::new());
        one.handle(0, Input::TimerDue, &mut effects).expect("the time");
        for effect in effects {
            if let Effect::SendPacket { packet, .. } = effect {
                first.handle(0, Input::Packet(&packet), &mut none).expect("a packet");
            }
        }
    }
    first
}

fn call(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a stream");
    stream.set_read_timeout(Some(BOUND)).expect("a limit");
    stream
}

fn framed(frame: &[u8]) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes(), frame].concat()
}

#[test]
fn a_list_that_no_packet_holds_comes_over_a_stream() {
    // Nobody is probed while this runs: the crowd is not there.
    let slow = |name, seeds: &[SocketAddr]| {
        MembershipTransport::start(spec(name, seeds, 600 * SECOND)).expect("a member")
    };
    let a = slow("a", &[]);
    let state = crowd(400).state();
    assert_eq!(state.member_count(), 400);
    let frame = state.seal(&key());
    assert!(frame.len() > 10 * MAX_PACKET_BYTES, "{} bytes", frame.len());
    let mut stream = call(a.local_address());
    stream.write_all(&framed(&frame)).expect("room");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let told = MembershipState::open(&key(), &answer[4..]).expect("a state");
    assert_eq!(told.member_count(), 401, "the answer holds the news, and who gives it");
    until("the crowd", || a.view().members.len() == 400);
    // One that joins learns of all within its first exchange; a packet names some twenty.
    let b = slow("b", &[a.local_address()]);
    until("the crowd at the newcomer", || b.view().members.len() == 401);
    assert_eq!(b.drop_counts(), Default::default());
    // Each is bound to the port of its packets.
    assert_eq!(b.view().local_member.address, b.local_address());
}

#[test]
fn whole_states_are_exchanged_each_30_s_where_a_packet_could_not_hold_them() {
    let exchanges = |mut of: Membership| {
        let (mut effects, mut now) = (Vec::new(), 0);
        while now < 31 * SECOND {
            of.handle(now, Input::TimerDue, &mut effects).expect("the time");
            now = of.next_due().expect("timers");
        }
        effects.iter().filter(|of| matches!(of, Effect::ExchangeState(_))).count()
    };
    assert_eq!((exchanges(crowd(5)), exchanges(crowd(400))), (0, 1));
}

#[test]
fn what_is_forged_too_large_or_garbage_is_counted_and_changes_nothing() {
    // Slow enough that a busy machine gives nobody up.
    let a = MembershipTransport::start(spec("a", &[], 2 * SECOND)).expect("a member");
    let b = MembershipTransport::start(spec("b", &[a.local_address()], 2 * SECOND)).expect("a member");
    all_see(&[&a, &b], 1);
    let stranger = Key::new(b"another key than theirs").expect("a key");
    let socket = UdpSocket::bind(loopback()).expect("a port");
    let before = a.view();
    // Few at a time: the system drops what its buffer does not hold.
    let send = |packets: &[&[u8]]| {
        let had = a.view().rejected;
        let total = |of: copperspread_membership_transport::RejectionCounts| {
            of.malformed + of.too_large + of.forged + of.other_version
        };
        for packet in packets {
            socket.send_to(packet, a.local_address()).expect("a packet");
        }
        until("all packets", || total(a.view().rejected) == total(had) + packets.len() as u64);
    };
    let wrong: Vec<[u8; 200]> = (0..=255).map(|first| [first; 200]).collect();
    for some in wrong.chunks(32) {
        send(&some.iter().map(|packet| &packet[..]).collect::<Vec<_>>());
    }
    send(&[&[], &[7], &[7; 32]]);
    send(&[&[1; MAX_PACKET_BYTES + 1], &[1; 60_000]]);
    // A state is no packet, though the key is right.
    let few = crowd(2).state();
    send(&[&few.seal(&key())]);
    let rejected = a.view().rejected;
    assert_eq!((rejected.malformed, rejected.too_large), (3, 2), "{rejected:?}");
    assert_eq!((rejected.forged, rejected.other_version), (256, 1), "{rejected:?}");

    let mut cut = framed(&few.seal(&key()));
    cut.truncate(cut.len() - 1);
    let bad: [Vec<u8>; 5] = [
        vec![255; 64],
        framed(&few.seal(&stranger)),
        framed(&[0x81; 20]),
        cut,
        b"GET /-/cluster HTTP/1.1\r\n\r\n".to_vec(),
    ];
    for bytes in &bad {
        let mut stream = call(a.local_address());
        stream.write_all(bytes).expect("room");
        // It may have closed already.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        // A reset will do, where bytes were left unread.
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{bytes:?} was answered");
    }
    let rejected = a.view().rejected;
    // The length of "GET " is one too large.
    assert_eq!((rejected.too_large, rejected.forged, rejected.malformed), (4, 257, 4), "{rejected:?}");
    assert_eq!(a.drop_counts().streams_failed, 1, "the cut one");
    assert_eq!((&a.view().local_member, &a.view().members), (&before.local_member, &before.members));
}

#[test]
fn slow_streams_take_the_streams_places_and_nothing_else() {
    let a = begin("a", &[]);
    let silent: Vec<TcpStream> = (0..30).map(|_| call(a.local_address())).collect();
    until("streams refused", || a.drop_counts().streams_rejected > 0);
    let b = begin("b", &[a.local_address()]);
    all_see(&[&a, &b], 1);
    // The places come free by the time limit, not by the silent ones' good will.
    let frame = framed(&crowd(2).state().seal(&key()));
    until("a served stream", || {
        let mut stream = call(a.local_address());
        let mut answer = Vec::new();
        let asked = stream.write_all(&frame).and_then(|()| stream.read_to_end(&mut answer));
        asked.is_ok() && !answer.is_empty()
    });
    let mut dribble = call(a.local_address());
    dribble.write_all(&[0, 0]).expect("room");
    let asked = Instant::now();
    a.leave();
    a.shutdown();
    assert!(asked.elapsed() < Duration::from_secs(2), "the leaving took {:?}", asked.elapsed());
    drop((silent, dribble));
}

#[test]
fn what_cannot_be_is_refused_at_the_start() {
    let a = begin("a", &[]);
    let taken = MembershipTransport::start(TransportConfig {
        bind_address: a.local_address(),
        ..spec("b", &[], SECOND)
    });
    assert!(taken.err().is_some_and(|why| why.to_string().contains(&a.local_address().to_string())));
    let long = MembershipTransport::start(spec(&"n".repeat(65), &[], SECOND));
    assert!(long.err().is_some_and(|why| why.to_string().contains("64")));
    let still = MembershipTransport::start(spec("c", &[], 0));
    assert!(still.err().is_some_and(|why| why.to_string().contains("interval")));
}
