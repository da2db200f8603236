//! A claim's life: every step from every state.
use copperspread_reservations::{ClaimState, InvalidTransition, Transition};

#[test]
fn each_step_leads_where_the_table_says_and_every_other_is_refused() {
    use ClaimState::*;
    let states = [Proposed, Held, Confirmed, Active, Done, Rejected, Displaced, Withdrawn, Lapsed];
    let steps = [
        Transition::Hold,
        Transition::Confirm,
        Transition::Begin,
        Transition::End,
        Transition::Reject,
        Transition::Displace,
        Transition::Withdraw,
        Transition::Lapse,
    ];
    // One row a state, one letter a step; "." is refused.
    let table = [
        "HC..R.WL", ".C...DWL", "..A..DW.", "...E.DW.", "........", "........", "........", "........",
        "........",
    ];
    for (from, row) in states.into_iter().zip(table) {
        for (step, letter) in steps.into_iter().zip(row.chars()) {
            let expected = match letter {
                'H' => Ok(Held),
                'C' => Ok(Confirmed),
                'A' => Ok(Active),
                'E' => Ok(Done),
                'R' => Ok(Rejected),
                'D' => Ok(Displaced),
                'W' => Ok(Withdrawn),
                'L' => Ok(Lapsed),
                _ => Err(InvalidTransition { from, transition: step }),
            };
            assert_eq!(from.apply(step), expected, "{from:?} {step:?}");
        }
    }
}
