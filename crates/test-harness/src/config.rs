//! The configuration of a fleet, and the configuration files of its members.
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const ZONES: [&str; 3] = ["arnhem", "zwolle", "eindhoven"];

/// The configuration of a fleet of scheduler processes under test.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The path of the scheduler program.
    pub scheduler_program: PathBuf,
    /// The number of members in the fleet, including members whose processes are not running.
    pub member_count: usize,
    /// The numbers of the members that are used as seeds. Each member of the fleet contacts these seeds to
    /// join.
    pub seed_members: Vec<usize>,
    /// The seed of the random numbers that decide on the faults of network links, such as lost packets.
    pub link_fault_seed: u64,
    /// The time between two probes that a member of the fleet sends.
    pub probe_interval: Duration,
    /// The time within which a member must answer a direct probe.
    pub probe_timeout: Duration,
    /// How long a member is suspected before it is declared dead, in probe intervals. With more than 10
    /// members, this duration is multiplied by the base-10 logarithm of their number.
    pub suspicion_multiplier: f64,
}

impl FleetConfig {
    /// Creates a configuration with the first member as the seed, a probe interval of 200 ms, a probe timeout
    /// of 80 ms and a suspicion multiplier of 5.
    pub fn new(scheduler_program: impl Into<PathBuf>, member_count: usize) -> FleetConfig {
        FleetConfig {
            scheduler_program: scheduler_program.into(),
            member_count,
            seed_members: vec![0],
            link_fault_seed: 1,
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(80),
            suspicion_multiplier: 5.0,
        }
    }
}

/// The settings for one member's configuration file that are not in [`FleetConfig`], such as the addresses of
/// the member.
pub(crate) struct MemberConfig<'a> {
    pub(crate) number: usize,
    pub(crate) name: String,
    pub(crate) http_address: SocketAddr,
    pub(crate) membership_address: SocketAddr,
    pub(crate) relay_address: SocketAddr,
    pub(crate) seed_addresses: Vec<SocketAddr>,
    pub(crate) key_file: &'a Path,
}

impl MemberConfig<'_> {
    /// Returns the content of this member's configuration file, as TOML.
    pub(crate) fn to_toml(&self, fleet: &FleetConfig) -> String {
        let seeds: Vec<_> = self.seed_addresses.iter().map(|address| format!("'{address}'")).collect();
        format!(
            "name = '{name}'\n[front.http]\nlisten = '{listen}'\n\
             [zones]\nnames = {ZONES:?}\nhere = '{zone}'\n\
             [[source.workers]]\nid = 'r0'\naddress = '{worker}:9'\n\
             [[classes]]\nname = 'once'\n\
             [cluster]\nbind = '{bind}'\nadvertise = '{advertise}'\nseeds = [{seeds}]\nkey_file = '{key}'\n\
             region = 'nl'\nprobe_interval = '{interval}ms'\nprobe_timeout = '{timeout}ms'\n\
             indirect = 3\nsuspicion = {suspicion:?}\n",
            name = self.name,
            listen = self.http_address,
            zone = ZONES[self.number % ZONES.len()],
            worker = self.http_address.ip(),
            bind = self.membership_address,
            advertise = self.relay_address,
            seeds = seeds.join(", "),
            key = self.key_file.display(),
            interval = fleet.probe_interval.as_millis(),
            timeout = fleet.probe_timeout.as_millis(),
            suspicion = fleet.suspicion_multiplier,
        )
    }
}
