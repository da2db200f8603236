//! Compares the bytes of every kind of packet and of the stored state with approved snapshots, to detect
//! changes of the wire and storage formats. The bytes come from a small deterministic run in virtual time.
mod recording;
mod simulation;

use std::collections::BTreeMap;

use copperspread_consensus::{ReplicatedState, SECOND, StartState, StoredState};
use recording::{COMMANDS, MEMBERS, PACKETS, RAFT_MESSAGES, Recording, VOTERS, hex};
use simulation::TestRules;

/// A run that covers the first epoch, rule changes, a voter that was stopped until the other voters had
/// compacted the log past the last entry that it had stored, a voter that lost its storage, and a leader
/// whose clock drifts.
fn recorded_run() -> Recording {
    let mut recording = Recording::new();
    (0..MEMBERS).for_each(|member| recording.start(member, StartState::Empty));
    recording.run_for(10 * SECOND);
    recording.change_rules(3, 2);
    // Two proposals at the same time, of which one is rejected.
    let base_version = recording.newest(0);
    for member in [0, 3] {
        recording.propose(member, base_version, TestRules::new(3, &[]));
    }
    recording.run_for(SECOND);
    let restarted = (recording.leader() + 1) % VOTERS;
    recording.stop(restarted);
    (1..=6).for_each(|limit| recording.change_rules(3, limit));
    recording.start(restarted, StartState::Stored(recording.stored[restarted].clone()));
    recording.run_for(5 * SECOND);
    recording.stop(restarted);
    recording.stored[restarted] = StoredState::default();
    recording.start(restarted, StartState::Empty);
    recording.run_for(5 * SECOND);
    let leader = recording.leader();
    recording.speed_up_clock(leader);
    recording.run_for(10 * SECOND);
    assert_ne!(recording.leader(), leader, "the leader must transfer the leadership");
    recording
}

fn listing(lines: &BTreeMap<String, String>) -> String {
    lines.iter().map(|(kind, line)| format!("{kind}\n  {line}\n")).collect()
}

/// Asserts that voters started from these bytes know the newest version again.
fn assert_restores(recording: &Recording, stored_bytes: &[Vec<u8>]) {
    let mut restored = Recording::new();
    for (voter, bytes) in stored_bytes.iter().enumerate() {
        let stored: StoredState = postcard::from_bytes(bytes).expect("the stored state can be deserialized");
        assert_eq!(stored, recording.stored[voter]);
        restored.stored[voter] = stored.clone();
        restored.start(voter, StartState::Stored(stored));
    }
    restored.start(3, StartState::Empty);
    restored.run_for(10 * SECOND);
    (0..MEMBERS).for_each(|member| assert_eq!(restored.newest(member), recording.newest(3)));
}

#[test]
fn packets_and_stored_bytes_match_the_approved_snapshots_and_voters_restart_from_stored_bytes() {
    let recording = recorded_run();
    insta::assert_snapshot!("packets", listing(&recording.packets));
    insta::assert_snapshot!("changes", listing(&recording.writes));
    insta::assert_snapshot!("digest", recording.digest.finalize().to_string());
    // All packet kinds except "raft", with two kinds of lease requests and two of proposal results, and all
    // kinds of Raft messages.
    let kinds = PACKETS.len() + 1 + RAFT_MESSAGES.len();
    assert_eq!(recording.packets.len(), kinds, "every kind must be sent: {:?}", recording.packets.keys());
    for command in COMMANDS {
        let entry = format!("entry: {command}");
        assert!(
            recording.writes.keys().any(|kind| kind.contains(&entry)),
            "a log entry with the command {command:?} must be stored"
        );
    }

    let serialize = |stored| postcard::to_allocvec(stored).expect("the stored state can be serialized");
    let stored_bytes: Vec<Vec<u8>> = recording.stored[..VOTERS].iter().map(serialize).collect();
    let lines: String = stored_bytes.iter().map(|bytes| hex(bytes) + "\n").collect();
    insta::assert_snapshot!("saved", lines);
    let snapshot = recording.stored[0].snapshot.as_ref().expect("the log was compacted");
    let state: ReplicatedState =
        postcard::from_bytes(&snapshot.state).expect("the state can be deserialized");
    assert_eq!(postcard::to_allocvec(&state).ok().as_ref(), Some(&snapshot.state));
    assert_restores(&recording, &stored_bytes);
}
