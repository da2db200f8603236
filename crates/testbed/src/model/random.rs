//! Streams of chance: one seed, a stream a component.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A stream of chance.
pub type RandomStream = Pcg64Mcg;

/// Which component draws. What one draws does not move what another one does.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    /// Arrivals and all that a job is when it arrives.
    Arrivals = 1,
    /// The workers' true speeds.
    Fleet,
    /// Which workers a fault meets.
    Faults,
    /// Latencies, losses, resets.
    Network,
    /// Clients' waits before a retry.
    Retries,
    /// Noise in load reports.
    Reports,
}

/// A component's stream under a seed.
pub fn random_stream(seed: u64, of: StreamPurpose) -> RandomStream {
    // Far apart in the seeds' space; the generator's seeding mixes them.
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((of as u64) << 56))
}
