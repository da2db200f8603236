//! Unit tests of `Plan`, included by `src/plan.rs` as its `tests` module.
use std::time::Duration;

use super::{Fault, Plan, PlanError};
use crate::call::{Call, SocketKind, Target};
use crate::errno::Errno;

const WORKER: Target<'_> = Target::Socket(SocketKind::Worker);
const EMFILE: Option<Fault> = Some(Fault::Fail(Errno(libc::EMFILE)));

fn plan(text: &str) -> Plan {
    text.parse().expect("the plan is valid")
}

#[test]
fn a_rule_selects_calls_by_their_number_among_those_that_match() {
    for (when, expected) in [
        ("calls 2", [false, true, false, false]),
        ("calls 2..3", [false, true, true, false]),
        ("calls 3..", [false, false, true, true]),
        ("every 2", [false, true, false, true]),
    ] {
        let plan = plan(&format!("# A comment.\n\nfail connect worker EMFILE {when} # the rest\n"));
        let faults = expected.map(|_| {
            assert_eq!(plan.next_fault(Call::Connect, Target::Socket(SocketKind::Client)), None);
            assert_eq!(plan.next_fault(Call::Socket, Target::Unspecific), None);
            plan.next_fault(Call::Connect, WORKER) == EMFILE
        });
        assert_eq!(faults, expected, "{when}");
    }
}

#[test]
fn the_first_selecting_rule_injects_its_fault_and_all_matching_rules_count() {
    let plan = plan("short send worker 3 calls 2\nfail send any EMFILE calls 2..3");
    let faults = [(); 4].map(|()| plan.next_fault(Call::Send, WORKER));
    assert_eq!(faults, [None, Some(Fault::Short(3)), EMFILE, None]);
}

#[test]
fn files_match_by_the_end_of_their_path() {
    let plan = plan("fail fsync file:state.json EMFILE calls 1..\nkill rename file:.tmp calls 1");
    assert_eq!(plan.next_fault(Call::Fsync, Target::File("/var/state.json")), EMFILE);
    assert_eq!(plan.next_fault(Call::Fsync, Target::File("/var/state.json.1")), None);
    assert_eq!(plan.next_fault(Call::Rename, Target::File("a.tmp")), Some(Fault::Kill));
}

#[test]
fn the_last_clock_offset_whose_time_has_come_applies() {
    let plan = plan("clock -3600s at 2s\nclock +1.5s at 0.5s");
    let offsets = [0, 500, 1_999, 2_000].map(|millis| plan.clock_offset(Duration::from_millis(millis)));
    assert_eq!(offsets, [0, 1_500_000_000, 1_500_000_000, -3_600_000_000_000]);
}

#[test]
fn a_plan_error_names_its_line() {
    for (statement, reason) in [
        ("fail", "unknown statement: fail"),
        ("fail acept4 client EMFILE calls 1", "unknown call: acept4"),
        ("fail accept4 clients EMFILE calls 1", "unknown kind: clients"),
        ("fail accept4 client EMFIL calls 1", "unknown errno: EMFIL"),
        ("fail accept4 client EMFILE", "invalid selection of calls: "),
        ("fail accept4 client EMFILE every 0", "not a positive integer: 0"),
        ("short accept4 client 1 calls 1", "call transfers no bytes: accept4"),
        ("address worker localhost:80", "invalid IPv4 address and port: localhost:80"),
        ("clock +1h at 0s", "invalid number of seconds: +1h"),
        ("clock +1s at -1s", "time before the start: -1s"),
    ] {
        let error = format!("# one\n{statement}").parse::<Plan>().expect_err(statement);
        assert_eq!(error, PlanError { line: 2, reason: reason.to_owned() });
        assert_eq!(error.to_string(), format!("line 2: {reason}"));
    }
}
