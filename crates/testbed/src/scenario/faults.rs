//! Faults of a scenario: their kind, time and targets.
use serde::{Deserialize, Serialize};

/// A fault that is injected for a period of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub starts_at_s: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Kind of the fault, with its parameter.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The share of targets that the fault affects, from 0 to 1; at least one target is affected.
    #[serde(rename = "share", default = "default_worker_share")]
    pub worker_share: f64,
    /// Restricts the fault to targets in this zone; if absent, targets may be in any zone.
    #[serde(default)]
    pub zone: Option<u32>,
    /// Seconds over which the start of the fault is staggered across its targets; 0 starts all at once.
    #[serde(rename = "spread_over", default)]
    pub stagger_s: f64,
}

fn default_worker_share() -> f64 {
    0.1
}

/// The effect of a fault while the fault is active. Some kinds have a parameter, such as a factor, a share or
/// a delay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Trouble", rename_all = "snake_case")]
pub enum FaultKind {
    /// Workers run jobs slower by this factor.
    Slow(f64),
    /// Jobs at workers make no progress.
    Stuck,
    /// Workers send no callbacks for jobs of the class with this index.
    Silent(u32),
    /// Workers refuse connections but remain in the endpoint list.
    Refusing,
    /// Connections are reset for this share of the attempts, in half of the cases after the job was accepted.
    Resetting(f64),
    /// Worker processes crash, and restart with slow start at the end of the fault.
    Crash,
    /// Worker machines are unreachable, and restart with slow start at the end of the fault.
    Vanish,
    /// Workers drain, return jobs that have not started, and restart with slow start at the end of the fault.
    Drain,
    /// The rate of new jobs is multiplied by this factor.
    Burst(f64),
    /// One percent of the jobs of the class with this index take 20 times their work.
    HeavyTail(u32),
    /// Load reports are refreshed this many seconds later than usual.
    ReportsLate(f64),
    /// Schedulers are not notified of changes of the endpoint list.
    DiscoveryDown,
    /// Discovery contradicts itself: it alternates, every 3 s, between the full endpoint list as of the start
    /// of the fault and the current full list.
    DiscoveryContradicts,
    /// Scheduler processes crash and lose all accepted requests; they restart at the end of the fault.
    SchedulerCrash,
    /// Scheduler processes shut down gracefully: they get no new requests, finish the accepted requests, and
    /// restart at the end of the fault. Requests that have no response at the restart are lost, and violate a
    /// rule.
    SchedulerRestart,
    /// Schedulers switch to another discovery service: they get no notification until the end of the fault,
    /// and then the full list of the new service. Only the simulation supports this fault.
    DiscoveryMoves,
    /// Workers answer this share of the attempts with bytes that are not HTTP; the jobs never run.
    Garbled(f64),
    /// Workers fail this share of the attempts immediately. The jobs of these attempts never run, but the
    /// rule checker counts the jobs as possibly run, because schedulers cannot know that they did not run.
    Failing(f64),
    /// Callbacks of workers are delayed by this many seconds.
    #[serde(rename = "late_news")]
    LateCallbacks(f64),
    /// Workers send every callback twice.
    #[serde(rename = "doubled_news")]
    DuplicateCallbacks,
    /// The rate of new jobs grows linearly, up to this factor at the end of the fault.
    Ramp(f64),
}

impl std::fmt::Display for FaultKind {
    /// Writes the fault's name and parameter as printed in reports.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FaultKind::LateCallbacks(by) => f.debug_tuple("LateNews").field(by).finish(),
            FaultKind::DuplicateCallbacks => f.write_str("DoubledNews"),
            kind => std::fmt::Debug::fmt(kind, f),
        }
    }
}

impl FaultKind {
    /// Returns whether the fault affects workers, rather than schedulers, clients, load reports or discovery.
    pub fn affects_workers(self) -> bool {
        !self.affects_schedulers()
            && !matches!(
                self,
                FaultKind::Burst(_)
                    | FaultKind::Ramp(_)
                    | FaultKind::HeavyTail(_)
                    | FaultKind::ReportsLate(_)
                    | FaultKind::DiscoveryDown
                    | FaultKind::DiscoveryMoves
                    | FaultKind::DiscoveryContradicts
            )
    }

    /// Returns whether the fault affects scheduler processes.
    pub fn affects_schedulers(self) -> bool {
        matches!(self, FaultKind::SchedulerCrash | FaultKind::SchedulerRestart)
    }
}
