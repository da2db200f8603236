//! Tests of the states of a claim: every transition from every state.
use copperspread_reservations::{ClaimState, InvalidTransition, Transition};

#[test]
fn every_transition_leads_to_the_state_in_the_table_or_is_an_error() {
    let states = [
        ClaimState::Proposed,
        ClaimState::Held,
        ClaimState::Confirmed,
        ClaimState::Active,
        ClaimState::Done,
        ClaimState::Rejected,
        ClaimState::Displaced,
        ClaimState::Withdrawn,
        ClaimState::Lapsed,
    ];
    let transitions = [
        Transition::Hold,
        Transition::Confirm,
        Transition::Begin,
        Transition::End,
        Transition::Reject,
        Transition::Displace,
        Transition::Withdraw,
        Transition::Lapse,
    ];
    // A row for each state, with a letter for each transition: the initial of the expected state (E for
    // `Done`, A for `Active`), or "." for an error.
    let table = [
        "HC..R.WL", ".C...DWL", "..A..DW.", "...E.DW.", "........", "........", "........", "........",
        "........",
    ];
    for (from, row) in states.into_iter().zip(table) {
        for (transition, letter) in transitions.into_iter().zip(row.chars()) {
            let expected = match letter {
                'H' => Ok(ClaimState::Held),
                'C' => Ok(ClaimState::Confirmed),
                'A' => Ok(ClaimState::Active),
                'E' => Ok(ClaimState::Done),
                'R' => Ok(ClaimState::Rejected),
                'D' => Ok(ClaimState::Displaced),
                'W' => Ok(ClaimState::Withdrawn),
                'L' => Ok(ClaimState::Lapsed),
                _ => Err(InvalidTransition { from, transition }),
            };
            assert_eq!(from.apply(transition), expected, "{from:?} {transition:?}");
        }
    }
}
