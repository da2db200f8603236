//! Compares the bytes of a state exchange over TCP and the JSON of the view with snapshots, so that a change
//! of these formats does not go unnoticed.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use copperspread_membership::{Input, Key, Member, Membership, MembershipState, SECOND, Settings};
use copperspread_membership_transport::{
    MembershipTransport, MembershipView, RejectionCounts, TransportConfig,
};

const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn key() -> Key {
    Key::new(b"a key for the transcripts").expect("the key should be long enough")
}

fn member(name: &str, address: SocketAddr) -> Member {
    let (zone, region) = ("zone-a".into(), "north".into());
    Member { name: name.into(), zone, region, address, generation: 1_700_000_000_000, rejoins: 2 }
}

/// Settings with which a member sends no probe within the test.
fn idle_settings() -> Settings {
    Settings { probe_interval: 600 * SECOND, ..Settings::default() }
}

fn membership(local: Member) -> Membership {
    Membership::new(local, idle_settings(), key(), 7).expect("the settings should be valid")
}

/// A sealed state preceded by its length, as on the wire.
fn length_prefixed(state: &MembershipState) -> Vec<u8> {
    let frame = state.seal(&key());
    let length = u32::try_from(frame.len()).expect("the length should fit into four bytes");
    [&length.to_be_bytes()[..], &frame].concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn state_exchange_over_tcp_matches_snapshot() {
    // Nothing listens at this address: packets to it are lost.
    let caller = membership(member("caller", ([127, 0, 0, 9], 9).into()));
    let request = length_prefixed(&caller.state());
    insta::assert_snapshot!("question", hex(&request));

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
    let transport = MembershipTransport::start(config).expect("the member should start");
    let mut stream =
        TcpStream::connect(transport.local_address()).expect("the member should accept a stream");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout should be set");
    stream.write_all(&request).expect("the state should be sent");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("a reply should be read");

    // The port and the generation of the member differ between runs, so the reply is compared with the state
    // of the same member without sockets.
    let mut expected = membership(transport.view().local_member);
    expected.handle(0, Input::State(&caller.state()), &mut Vec::new()).expect("the state should be accepted");
    assert_eq!(hex(&reply), hex(&length_prefixed(&expected.state())));
}

#[test]
fn view_json_matches_snapshot() {
    let view = MembershipView {
        local_member: member("own", ([127, 0, 0, 1], 7_946).into()),
        members: [member("other", "[::1]:7946".parse().expect("the address should be valid"))].into(),
        local_health_multiplier: 1,
        detected_pauses: 2,
        rejected: RejectionCounts { too_large: 3, malformed: 4, forged: 5, other_version: 6 },
        packets_in: 7,
        packets_out: 8,
        bytes_in: 9,
        bytes_out: 10,
    };
    insta::assert_snapshot!(
        "view",
        serde_json::to_string_pretty(&view).expect("the view should be serializable")
    );
}
