//! Faults of a scenario: their kind, time and targets.
use serde::{Deserialize, Serialize};

/// A fault that is injected during a part of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub starts_at_s: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Kind of the fault, with the parameter of this kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Share of the possible targets that the fault affects, from 0 to 1. At least one target is affected.
    #[serde(rename = "share", default = "default_worker_share")]
    pub worker_share: f64,
    /// Zone of the workers or schedulers that the fault can affect. If absent, they can be in any zone.
    #[serde(default)]
    pub zone: Option<u32>,
    /// Seconds over which the start of the fault is spread across its targets. With 0, the fault starts at
    /// all targets at once.
    #[serde(rename = "spread_over", default)]
    pub stagger_s: f64,
}

fn default_worker_share() -> f64 {
    0.1
}

/// What a fault does while it is active. Some kinds have a parameter, such as a factor, a share or a delay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Trouble", rename_all = "snake_case")]
pub enum FaultKind {
    /// The affected workers run jobs slower by this factor.
    Slow(f64),
    /// Jobs at the affected workers make no progress.
    Stuck,
    /// The affected workers send no callbacks for jobs of the class with this index.
    Silent(u32),
    /// The affected workers refuse connections, but remain in the endpoint list.
    Refusing,
    /// The affected workers' connections are reset for this share of the attempts. In half of these cases,
    /// the worker has accepted the job before the reset.
    Resetting(f64),
    /// The processes of the affected workers crash. They restart in slow start at the end of the fault.
    Crash,
    /// The machines of the affected workers are unreachable. The workers restart in slow start at the end of
    /// the fault.
    Vanish,
    /// The affected workers drain, and return the jobs that have not started. They restart in slow start at
    /// the end of the fault.
    Drain,
    /// The arrival rate of new jobs is multiplied by this factor.
    Burst(f64),
    /// One percent of the jobs of the class with this index have 20 times their usual work.
    HeavyTail(u32),
    /// The load reports of workers are refreshed this many seconds later than usual.
    ReportsLate(f64),
    /// Discovery is down: schedulers are not notified of changes of the endpoint list.
    DiscoveryDown,
    /// Discovery contradicts itself: it switches every 3 s between two endpoint lists. One is the full list
    /// as of the start of the fault, the other is the current full list.
    DiscoveryContradicts,
    /// The affected scheduler processes crash and lose all requests that they have accepted. They restart at
    /// the end of the fault.
    SchedulerCrash,
    /// The affected scheduler processes shut down gracefully. They get no new requests, and finish the
    /// requests that they have accepted. They restart at the end of the fault. Requests that have no response
    /// by then are lost, and violate a rule.
    SchedulerRestart,
    /// Schedulers switch to another discovery service. They get no notification until the end of the fault.
    /// Then they get the full endpoint list of the new service. Only the simulation supports this fault.
    DiscoveryMoves,
    /// The affected workers answer this share of the attempts with bytes that are not HTTP. The jobs of these
    /// attempts never run.
    Garbled(f64),
    /// The affected workers fail this share of the attempts immediately. The jobs of these attempts never
    /// run. The rule checker nevertheless counts the jobs as possibly run, because schedulers cannot know
    /// that they did not run.
    Failing(f64),
    /// The callbacks of the affected workers are delayed by this many seconds. In the simulation, this
    /// affects only the callbacks that report the start or the result of a job.
    #[serde(rename = "late_news")]
    LateCallbacks(f64),
    /// The affected workers send every callback twice. In the simulation, this affects only the callbacks
    /// that report the start of a job.
    #[serde(rename = "doubled_news")]
    DuplicateCallbacks,
    /// The arrival rate of new jobs grows linearly during the fault, from its usual value to this multiple of
    /// the usual value. After the fault, the rate has its usual value again.
    Ramp(f64),
}

impl std::fmt::Display for FaultKind {
    /// Writes the name and the parameter of the fault, as they are printed in reports.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FaultKind::LateCallbacks(by) => f.debug_tuple("LateNews").field(by).finish(),
            FaultKind::DuplicateCallbacks => f.write_str("DoubledNews"),
            kind => std::fmt::Debug::fmt(kind, f),
        }
    }
}

impl FaultKind {
    /// Returns whether the fault affects workers. Other faults affect schedulers, clients, load reports or
    /// discovery.
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
