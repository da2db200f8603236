//! Tests of what `shares`'s `agreement` keeps to itself; it takes this file in as its `tests`.
use super::*;

fn terms(weight: u32, guarantee: u32, ceiling: u32) -> ShareConfig {
    ShareConfig { weight, guarantee, ceiling }
}

fn one(federation: ShareConfig, tenants: &[(&str, ShareConfig)]) -> Federation {
    let named = |&(name, terms): &(&str, ShareConfig)| (Name::new(name).expect("name"), terms);
    Federation { share_config: federation, tenants: tenants.iter().map(named).collect() }
}

#[test]
fn promises_that_cannot_all_be_kept_are_refused_with_whose_and_what() {
    let good = terms(1, 10, 20);
    let cases = [
        (one(terms(0, 0, 1), &[]), Some("f"), PolicyErrorKind::InvalidWeight),
        (one(terms(FULL_SHARE_PPM + 1, 0, 1), &[]), Some("f"), PolicyErrorKind::InvalidWeight),
        (one(terms(1, 2, 1), &[]), Some("f"), PolicyErrorKind::InvalidCeiling),
        (one(good, &[("t", terms(1, 0, FULL_SHARE_PPM + 1))]), Some("t"), PolicyErrorKind::InvalidCeiling),
        (
            one(good, &[("t", good), ("u", terms(1, 1, 1))]),
            Some("f"),
            PolicyErrorKind::GuaranteesExceedParent,
        ),
        (one(terms(1, FULL_SHARE_PPM, FULL_SHARE_PPM), &[]), None, PolicyErrorKind::GuaranteesExceedParent),
        (one(good, &[("again", terms(1, 0, 1))]), Some("again"), PolicyErrorKind::DuplicateTenant),
    ];
    let other = || one(good, &[("again", terms(1, 0, 1))]);
    for (federation, whose, what) in cases {
        let both = [("e", other()), ("f", federation)];
        let both = both.into_iter().map(|(name, one)| (Name::new(name).expect("name"), one)).collect();
        let wrong = FairSharePolicy::new(both).expect_err("refused");
        assert_eq!((wrong.party.as_ref().map(Name::as_str), wrong.kind), (whose, what));
    }
}
