//! Selection of the members that a member announces itself to until one of them has answered.
use std::net::SocketAddr;

use crate::member::Member;
use crate::time::Micros;

/// Maximum number of known members that one round of announcements goes to, in addition to the seeds.
const MAX_KNOWN_TARGETS: usize = 4;

/// The receivers of one round of announcements: all seeds, and some of the known members.
///
/// Announcements go to known members because the first packets under a new identity of this member may be
/// lost. Other members then keep sending to the old identity, and `foca` does nothing until a packet to the
/// new identity arrives.
pub(crate) fn announce_targets<'a>(
    local: &Member,
    seeds: &[SocketAddr],
    known: impl Iterator<Item = &'a Member>,
    now: Micros,
) -> Vec<Member> {
    let known: Vec<&Member> = known.collect();
    // The first known member to announce to depends on the time, so that the rounds usually reach different
    // members.
    let start = now as usize % known.len().max(1);
    let rotated = known.iter().cycle().skip(start).take(known.len().min(MAX_KNOWN_TARGETS));
    let seeds = seeds.iter().map(|&seed| Member::placeholder(seed));
    let targets = seeds.chain(rotated.map(|&member| member.clone()));
    targets.filter(|target| target.address != local.address).collect()
}
