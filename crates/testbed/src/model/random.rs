//! Random number generators of a run. Each purpose, such as the arrivals of jobs, has its own generator. All
//! are derived from the seed of the run.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A random number generator that gives the same sequence of numbers for the same seed.
pub type RandomStream = Pcg64Mcg;

/// What a random stream is used for. Each purpose has its own stream, so that draws for one purpose do not
/// change the numbers that are drawn for another purpose.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    /// The stream for the arrival times and the properties of jobs.
    Arrivals = 1,
    /// The stream for the speeds of the workers. The speed of each worker is drawn from the range that the
    /// scenario sets.
    Fleet,
    /// The stream for the choice of the targets of faults. Also for the choice of the workers that no longer
    /// exist, but that the schedulers' cached endpoint list still contains.
    Faults,
    /// The stream for network delays, message losses and connection resets, and for the random choices of the
    /// baseline policies.
    Network,
    /// The stream for the delays of clients before a retry.
    Retries,
    /// The stream for the random errors of load reports.
    Reports,
}

/// Creates the random stream for `purpose` in the run with the seed `seed`.
pub fn random_stream(seed: u64, purpose: StreamPurpose) -> RandomStream {
    // The multiplication spreads neighbouring seeds far apart; `seed_from_u64` then mixes their bits.
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((purpose as u64) << 56))
}
