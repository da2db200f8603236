//! Approved transcripts: the bytes of a whole-state exchange over TCP, and the JSON of the view.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use copperspread_membership::{Input, Key, Member, Membership, MembershipState, SECOND, Settings};
use copperspread_membership_transport::{
    MembershipTransport, MembershipView, RejectionCounts, TransportConfig,
};

const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn key() -> Key {
    Key::new(b"a key for the transcripts").expect("a key")
}

fn member(name: &str, address: SocketAddr) -> Member {
    let (zone, region) = ("zone-a".into(), "north".into());
    Member { name: name.into(), zone, region, address, generation: 1_700_000_000_000, rejoins: 2 }
}

/// Settings of a member that sends no probe within the test.
fn idle_settings() -> Settings {
    Settings { probe_interval: 600 * SECOND, ..Settings::default() }
}

fn membership(local: Member) -> Membership {
    Membership::new(local, idle_settings(), key(), 7).expect("settings")
}

/// A sealed state with the length before it, as on the wire.
fn with_length(state: &MembershipState) -> Vec<u8> {
    let frame = state.seal(&key());
    let length = u32::try_from(frame.len()).expect("a short state");
    [&length.to_be_bytes()[..], &frame].concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn an_exchange_of_states_over_tcp_is_as_approved() {
    // Nothing listens there: packets to it are lost.
    let caller = membership(member("caller", ([127, 0, 0, 9], 9).into()));
    let question = with_length(&caller.state());
    insta::assert_snapshot!("question", hex(&question));

    let config = TransportConfig {
        bind_address: ([127, 0, 0, 1], 0).into(),
        advertised_address: None,
        name: "answerer".into(),
        zone: "zone-b".into(),
        region: "south".into(),
        membership_settings: idle_settings(),
        key: key(),
        seed: 7,
    };
    let transport = MembershipTransport::start(config).expect("a member");
    let mut stream = TcpStream::connect(transport.local_address()).expect("a stream");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a limit");
    stream.write_all(&question).expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");

    // Its port and generation are of this run: the answer is compared with that of the same member without sockets.
    let mut twin = membership(transport.view().local_member);
    twin.handle(0, Input::State(&caller.state()), &mut Vec::new()).expect("a state");
    assert_eq!(hex(&answer), hex(&with_length(&twin.state())));
}

#[test]
fn the_views_json_is_as_approved() {
    let view = MembershipView {
        local_member: member("own", ([127, 0, 0, 1], 7_946).into()),
        members: [member("other", "[::1]:7946".parse().expect("an address"))].into(),
        local_health_multiplier: 1,
        detected_pauses: 2,
        rejected: RejectionCounts { too_large: 3, malformed: 4, forged: 5, other_version: 6 },
        packets_in: 7,
        packets_out: 8,
        bytes_in: 9,
        bytes_out: 10,
    };
    insta::assert_snapshot!("view", serde_json::to_string_pretty(&view).expect("JSON"));
}
