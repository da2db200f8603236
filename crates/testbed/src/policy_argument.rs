//! Parses the name of a dispatch policy in a command-line argument.
use copperspread_testbed::policy::PolicyKind;

/// Parses the name of a dispatch policy. The error message lists the policies that a comparison runs by
/// default.
pub(crate) fn parse_policy(text: &str) -> Result<PolicyKind, String> {
    serde_json::from_value(text.into()).map_err(|_| {
        let names: Vec<_> = PolicyKind::COMPARED.iter().map(|kind| kind.name()).collect();
        format!("unknown policy; expected one of {}", names.join(", "))
    })
}
