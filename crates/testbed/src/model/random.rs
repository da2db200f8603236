//! Random streams of a run, one for each purpose, all derived from one seed.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A random number generator that gives the same numbers for the same seed.
pub type RandomStream = Pcg64Mcg;

/// The purpose of a random stream. Draws for one purpose do not change those for another.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    /// Arrival times and properties of jobs.
    Arrivals = 1,
    /// True speeds of the workers.
    Fleet,
    /// Choice of the workers that are in the cached endpoint list but do not exist, and of the targets of
    /// faults.
    Faults,
    /// Network delays, losses and resets, and the random choices of baseline policies.
    Network,
    /// Delays of clients before a retry.
    Retries,
    /// Noise in load reports.
    Reports,
}

/// Creates the random stream for a purpose from a run's seed.
pub fn random_stream(seed: u64, purpose: StreamPurpose) -> RandomStream {
    // The multiplication spreads neighbouring seeds far apart; `seed_from_u64` then mixes their bits.
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((purpose as u64) << 56))
}
