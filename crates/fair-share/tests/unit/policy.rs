//! Unit tests of `policy`, which includes this file as its `tests`.
use super::*;

fn config(weight: u32, guarantee: u32, ceiling: u32) -> ShareConfig {
    ShareConfig { weight, guarantee, ceiling }
}

fn federation_of(share_config: ShareConfig, tenants: &[(&str, ShareConfig)]) -> Federation {
    let with_name =
        |&(name, config): &(&str, ShareConfig)| (Name::new(name).expect("the name should be valid"), config);
    Federation { share_config, tenants: tenants.iter().map(with_name).collect() }
}

#[test]
fn an_invalid_policy_is_rejected_with_the_party_and_the_kind_of_error() {
    let valid = config(1, 10, 20);
    let cases = [
        (federation_of(config(0, 0, 1), &[]), Some("f"), PolicyErrorKind::InvalidWeight),
        (federation_of(config(FULL_SHARE_PPM + 1, 0, 1), &[]), Some("f"), PolicyErrorKind::InvalidWeight),
        (federation_of(config(1, 2, 1), &[]), Some("f"), PolicyErrorKind::InvalidCeiling),
        (
            federation_of(valid, &[("t", config(1, 0, FULL_SHARE_PPM + 1))]),
            Some("t"),
            PolicyErrorKind::InvalidCeiling,
        ),
        (
            federation_of(valid, &[("t", valid), ("u", config(1, 1, 1))]),
            Some("f"),
            PolicyErrorKind::GuaranteesExceedParent,
        ),
        (
            federation_of(config(1, FULL_SHARE_PPM, FULL_SHARE_PPM), &[]),
            None,
            PolicyErrorKind::GuaranteesExceedParent,
        ),
        (
            federation_of(valid, &[("again", config(1, 0, 1))]),
            Some("again"),
            PolicyErrorKind::DuplicateTenant,
        ),
    ];
    let other = || federation_of(valid, &[("again", config(1, 0, 1))]);
    for (federation, party, kind) in cases {
        let federations = [("e", other()), ("f", federation)];
        let federations = federations
            .into_iter()
            .map(|(name, federation)| (Name::new(name).expect("the name should be valid"), federation))
            .collect();
        let error = FairSharePolicy::new(federations).expect_err("the policy should be rejected");
        assert_eq!((error.party.as_ref().map(Name::as_str), error.kind), (party, kind));
    }
}
