//! Types of a scenario's faults: what goes wrong, when, and for whom.
use serde::{Deserialize, Serialize};

/// A fault that lasts for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    #[serde(rename = "at")]
    pub starts_at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The share of workers that it affects, at least one of them.
    #[serde(rename = "share", default = "default_worker_share")]
    pub worker_share: f64,
    /// Only workers of this zone.
    #[serde(default)]
    pub zone: Option<u32>,
    /// The seconds over which the workers are affected one after another; 0: all at once.
    #[serde(rename = "spread_over", default)]
    pub stagger_s: f64,
}

fn default_worker_share() -> f64 {
    0.1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Trouble", rename_all = "snake_case")]
pub enum FaultKind {
    /// Workers run slower by this factor.
    Slow(f64),
    /// Jobs of workers make no progress.
    Stuck,
    /// Workers send nothing for jobs of the class of this index.
    Silent(u32),
    /// Workers are listed and refuse connections.
    Refusing,
    /// This share of the attempts sent to workers breaks, half of them after the job was accepted.
    Resetting(f64),
    /// Worker processes end, and start cold at the end of the fault.
    Crash,
    /// Worker machines are unreachable, and start cold at the end of the fault.
    Vanish,
    /// Workers drain, return what has not started, and start cold at the end of the fault.
    Drain,
    /// Clients send more jobs by this factor.
    Burst(f64),
    /// A hundredth of the jobs of the class of this index cost twenty times as much.
    HeavyTail(u32),
    /// Load reports are refreshed this many seconds later.
    ReportsLate(f64),
    /// Schedulers are notified of no change of the endpoint list.
    DiscoveryDown,
    /// Every answer of discovery but the first is the whole list as it was when the fault began, in
    /// turns with the true one: discovery contradicts itself.
    DiscoveryContradicts,
    /// Scheduler processes end with all that they accepted, and restart at the end of the fault.
    SchedulerCrash,
    /// Scheduler processes shut down: they get no new clients, answer what they accepted, and restart at
    /// the end of the fault. What they have not answered by then is lost, and a violation.
    SchedulerRestart,
    /// Schedulers are pointed to another discovery service: no notification until the end of the fault,
    /// and then its whole list. In virtual time only.
    DiscoveryMoves,
    /// This share of the attempts sent to workers is answered with what is not HTTP; they never run.
    Garbled(f64),
    /// Workers fail this share of the attempts at once. Those never run, but the rules count them as
    /// possibly run, as nobody is notified.
    Failing(f64),
    /// Callbacks of workers arrive this many seconds late.
    #[serde(rename = "late_news")]
    LateCallbacks(f64),
    /// Workers send every callback twice.
    #[serde(rename = "doubled_news")]
    DuplicateCallbacks,
    /// Clients send ever more jobs, evenly, up to this factor at the end of the fault.
    Ramp(f64),
}

impl std::fmt::Display for FaultKind {
    /// The name as printed in reports.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FaultKind::LateCallbacks(by) => f.debug_tuple("LateNews").field(by).finish(),
            FaultKind::DuplicateCallbacks => f.write_str("DoubledNews"),
            kind => std::fmt::Debug::fmt(kind, f),
        }
    }
}

impl FaultKind {
    /// Whether it affects workers, and not clients, load reports or discovery.
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

    /// Whether it affects schedulers.
    pub fn affects_schedulers(self) -> bool {
        matches!(self, FaultKind::SchedulerCrash | FaultKind::SchedulerRestart)
    }
}
