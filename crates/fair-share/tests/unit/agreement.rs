//! Tests of what `shares`'s `agreement` keeps to itself; it takes this file in as its `tests`.
use super::*;

fn terms(weight: u32, guarantee: u32, ceiling: u32) -> Terms {
    Terms { weight, guarantee, ceiling }
}

fn one(federation: Terms, tenants: &[(&str, Terms)]) -> Federation {
    let named = |&(name, terms): &(&str, Terms)| (Name::new(name).expect("name"), terms);
    Federation { terms: federation, tenants: tenants.iter().map(named).collect() }
}

#[test]
fn promises_that_cannot_all_be_kept_are_refused_with_whose_and_what() {
    let good = terms(1, 10, 20);
    let cases = [
        (one(terms(0, 0, 1), &[]), Some("f"), WrongWhat::Weight),
        (one(terms(WHOLE + 1, 0, 1), &[]), Some("f"), WrongWhat::Weight),
        (one(terms(1, 2, 1), &[]), Some("f"), WrongWhat::Ceiling),
        (one(good, &[("t", terms(1, 0, WHOLE + 1))]), Some("t"), WrongWhat::Ceiling),
        (one(good, &[("t", good), ("u", terms(1, 1, 1))]), Some("f"), WrongWhat::Guarantees),
        (one(terms(1, WHOLE, WHOLE), &[]), None, WrongWhat::Guarantees),
        (one(good, &[("again", terms(1, 0, 1))]), Some("again"), WrongWhat::Twice),
    ];
    let other = || one(good, &[("again", terms(1, 0, 1))]);
    for (federation, whose, what) in cases {
        let both = [("e", other()), ("f", federation)];
        let both = both.into_iter().map(|(name, one)| (Name::new(name).expect("name"), one)).collect();
        let wrong = Agreement::new(both).expect_err("refused");
        assert_eq!((wrong.whose.as_ref().map(Name::as_str), wrong.what), (whose, what));
    }
}
