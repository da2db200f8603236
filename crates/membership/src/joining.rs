//! Whom a member announces itself to until somebody has answered it.
use std::net::SocketAddr;

use crate::member::Member;
use crate::time::Micros;

/// Known members that are announced to in one round, besides the seeds.
const MAX_KNOWN_TARGETS: usize = 4;

/// The receivers of one round of announcements: all seeds, and some members that are already known.
///
/// The known ones are there for a member that came back under a new identity and whose first packets were lost: the
/// others go on writing to the old identity, and `foca` does nothing until a packet to the new one arrives.
pub(crate) fn announce_targets<'a>(
    local: &Member,
    seeds: &[SocketAddr],
    known: impl Iterator<Item = &'a Member>,
    now: Micros,
) -> Vec<Member> {
    let known: Vec<&Member> = known.collect();
    // The start differs from round to round, so that all are reached in the end.
    let start = now as usize % known.len().max(1);
    let rotated = known.iter().cycle().skip(start).take(known.len().min(MAX_KNOWN_TARGETS));
    let seeds = seeds.iter().map(|&seed| Member::placeholder(seed));
    let targets = seeds.chain(rotated.map(|&member| member.clone()));
    targets.filter(|target| target.address != local.address).collect()
}
