//! Selects the members to which a member announces itself until one of them has answered.
use std::net::SocketAddr;

use crate::member::Member;
use crate::time::Micros;

/// Maximum number of known members to which a member announces itself in one round, in addition to the seeds.
const MAX_KNOWN_TARGETS: usize = 4;

/// Returns the members to which this member announces itself in one round: all seeds, and some known members.
///
/// The first packets under a new identity of this member may be lost. Other members then keep sending to the
/// old identity. This member's protocol library, `foca`, does nothing until a packet to the new identity
/// arrives. An announcement asks the other member for such a packet, so announcements also go to known
/// members.
pub(crate) fn announce_targets<'a>(
    local: &Member,
    seeds: &[SocketAddr],
    known: impl Iterator<Item = &'a Member>,
    now: Micros,
) -> Vec<Member> {
    let known: Vec<&Member> = known.collect();
    // The time of a round of announcements determines which known members receive an announcement, so that
    // the rounds usually reach different members.
    let start = now as usize % known.len().max(1);
    let rotated = known.iter().cycle().skip(start).take(known.len().min(MAX_KNOWN_TARGETS));
    let seeds = seeds.iter().map(|&seed| Member::placeholder(seed));
    let targets = seeds.chain(rotated.map(|&member| member.clone()));
    targets.filter(|target| target.address != local.address).collect()
}
