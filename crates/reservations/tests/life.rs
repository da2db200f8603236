//! A claim's life: every step from every state.
use copperspread_reservations::{Illegal, State, Step};

#[test]
fn each_step_leads_where_the_table_says_and_every_other_is_refused() {
    use State::*;
    let states = [Proposed, Held, Confirmed, Active, Done, Refused, Displaced, Withdrawn, Lapsed];
    let steps = [
        Step::Hold,
        Step::Confirm,
        Step::Begin,
        Step::End,
        Step::Refuse,
        Step::Displace,
        Step::Withdraw,
        Step::Lapse,
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
                'R' => Ok(Refused),
                'D' => Ok(Displaced),
                'W' => Ok(Withdrawn),
                'L' => Ok(Lapsed),
                _ => Err(Illegal { from, step }),
            };
            assert_eq!(from.after(step), expected, "{from:?} {step:?}");
        }
    }
}
