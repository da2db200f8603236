//! Approved transcripts: the bytes of every kind of packet, and of what voters store, from a small run in virtual time.
mod recording;
mod simulation;

use std::collections::BTreeMap;

use copperspread_consensus::{ReplicatedState, SECOND, StartState, StoredState};
use recording::{COMMANDS, MEMBERS, PACKETS, RAFT_MESSAGES, Recording, VOTERS, hex};
use simulation::TestRules;

/// The first epoch, changes, a voter that was away for longer than the log reaches, one that lost its storage, and a
/// leader whose clock drifts.
fn recorded_run() -> Recording {
    let mut recording = Recording::new();
    (0..MEMBERS).for_each(|member| recording.start(member, StartState::Empty));
    recording.run_for(10 * SECOND);
    recording.change_rules(3, 2);
    // Two at once, of which one is rejected.
    let base_version = recording.newest(0);
    for member in [0, 3] {
        recording.propose(member, base_version, TestRules::new(3, &[]));
    }
    recording.run_for(SECOND);
    let away = (recording.leader() + 1) % VOTERS;
    recording.stop(away);
    (1..=6).for_each(|limit| recording.change_rules(3, limit));
    recording.start(away, StartState::Stored(recording.stored[away].clone()));
    recording.run_for(5 * SECOND);
    recording.stop(away);
    recording.stored[away] = StoredState::default();
    recording.start(away, StartState::Empty);
    recording.run_for(5 * SECOND);
    let leader = recording.leader();
    recording.speed_up_clock(leader);
    recording.run_for(10 * SECOND);
    assert_ne!(recording.leader(), leader, "it transferred the leadership");
    recording
}

fn listing(lines: &BTreeMap<String, String>) -> String {
    lines.iter().map(|(kind, line)| format!("{kind}\n  {line}\n")).collect()
}

/// All voters start from these bytes, and know the newest version again.
fn assert_restores(recording: &Recording, stored_bytes: &[Vec<u8>]) {
    let mut restored = Recording::new();
    for (voter, bytes) in stored_bytes.iter().enumerate() {
        let stored: StoredState = postcard::from_bytes(bytes).expect("what was stored");
        assert_eq!(stored, recording.stored[voter]);
        restored.stored[voter] = stored.clone();
        restored.start(voter, StartState::Stored(stored));
    }
    restored.start(3, StartState::Empty);
    restored.run_for(10 * SECOND);
    (0..MEMBERS).for_each(|member| assert_eq!(restored.newest(member), recording.newest(3)));
}

#[test]
fn packets_and_stored_forms_are_as_approved_and_what_is_stored_restores() {
    let recording = recorded_run();
    insta::assert_snapshot!("packets", listing(&recording.packets));
    insta::assert_snapshot!("changes", listing(&recording.writes));
    insta::assert_snapshot!("digest", recording.digest.finalize().to_string());
    // All but "raft", with two kinds of lease requests and two of results.
    let kinds = PACKETS.len() + 1 + RAFT_MESSAGES.len();
    assert_eq!(recording.packets.len(), kinds, "every kind was sent: {:?}", recording.packets.keys());
    for command in COMMANDS {
        let entry = format!("entry: {command}");
        assert!(recording.writes.keys().any(|kind| kind.contains(&entry)), "{command} was stored");
    }

    let serialize = |stored| postcard::to_allocvec(stored).expect("bytes");
    let stored_bytes: Vec<Vec<u8>> = recording.stored[..VOTERS].iter().map(serialize).collect();
    let lines: String = stored_bytes.iter().map(|bytes| hex(bytes) + "\n").collect();
    insta::assert_snapshot!("saved", lines);
    let snapshot = recording.stored[0].snapshot.as_ref().expect("the log was compacted");
    let state: ReplicatedState = postcard::from_bytes(&snapshot.state).expect("a state");
    assert_eq!(postcard::to_allocvec(&state).ok().as_ref(), Some(&snapshot.state));
    assert_restores(&recording, &stored_bytes);
}
