//! What goes into and comes out of the decision module: settings, events, actions and ids.
//!
//! Times are whole microseconds. An instant counts from any fixed start; spans are differences.

/// Microseconds: an instant on the node's clock, or a span.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// What may pass between a decision and its attempt on the wire beyond [`Settings::connect_timeout`]: half of
/// it before the node begins the hand-over, half before the connection that is up is written to.
pub const DISPATCH_SLACK: Micros = 50_000;

/// A client's request, by a number that the node never uses twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// A worker, by a small number that the node gives out densely from 0 and keeps for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// What may be repeated of a class's jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    Idempotent,
    /// Carries a key: workers of one group drop a repeat within `window` of the first send.
    IdempotentWithKey {
        /// The group within which repeats are dropped.
        scope: KeyScope,
        /// For how long they are dropped.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which workers share the memory of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Full worth is earned by an answer within this time plus the stretch.
    pub latency_objective: Micros,
    /// The aim grows by this many times the job's own running time.
    pub latency_stretch: f64,
    /// The client gives up after this time, over all its tries.
    pub deadline: Micros,
    /// What one unit of this class is worth.
    pub priority_weight: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// The one kind of worker that runs it, if it is bound to one.
    pub worker_kind: Option<u32>,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: SECOND,
            latency_stretch: 0.0,
            deadline: 10 * SECOND,
            priority_weight: 1.0,
            idempotency: Idempotency::NonIdempotent,
            worker_kind: None,
        }
    }
}

/// A tenant's part of the service.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Tenant {
    /// Requests a second over all dispatchers that stay inside its share.
    pub quota_per_second: f64,
}

/// How the roster of workers reaches a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Pushed,
    /// Changes come only after a subscription.
    Polled,
}

/// What a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many dispatchers share the workers, this one included.
    pub fleet_size: u32,
    /// This dispatcher's number among them, from 0, where it is told one.
    pub instance_index: Option<u32>,
    /// This dispatcher's zone.
    pub zone: u32,
    /// The classes of jobs, by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's share is worth, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// Worth counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// How the roster arrives.
    pub discovery: Discovery,
    /// Unsubscribed and not having asked for this long counts as knowing the roster of then.
    pub poll_within: Micros,
    /// A worker starts at this share of its capacity or more.
    pub slow_start_initial_capacity: f64,
    /// It is warm after this long at most.
    pub slow_start_duration: Micros,
    /// Sent more than this many times its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold worker falls over.
    pub overload_window: Micros,
    /// A connection that is not up within this has failed: an attempt may be written so much later.
    pub connect_timeout: Micros,
    /// The most attempts one request may have.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub hedging_allowed: bool,
    /// An attempt may be called off.
    pub cancellation_allowed: bool,
    /// Workers tell when a job starts.
    pub reports_job_start: bool,
    /// Workers tell their load only when they are probed, and probing is allowed.
    pub load_by_query: bool,
    /// Price of a probe, as worth lost for each first try.
    pub load_query_cost: f64,
    /// Price of sending an attempt to another zone, as worth lost for each first try.
    pub cross_zone_cost: f64,
    /// A listed size is the worker's own, divided by 1 and the jobs it held a core some time before.
    pub sizes_reflect_load: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            fleet_size: 1,
            instance_index: None,
            zone: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            discovery: Discovery::Pushed,
            poll_within: 10 * SECOND,
            slow_start_initial_capacity: 0.1,
            slow_start_duration: 10 * SECOND,
            overload_multiple: 1.0,
            overload_window: SECOND,
            connect_timeout: 0,
            max_attempts: 1,
            hedging_allowed: false,
            cancellation_allowed: false,
            reports_job_start: false,
            load_by_query: false,
            load_query_cost: 0.0,
            cross_zone_cost: 0.0,
            sizes_reflect_load: false,
        }
    }
}

impl Settings {
    /// Whether a dispatcher can work by them.
    ///
    /// # Errors
    /// The first figure that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError("no class of jobs"));
        }
        if self.fleet_size == 0 {
            return Err(SettingsError("a fleet of no dispatchers"));
        }
        if self.max_attempts == 0 {
            return Err(SettingsError("no attempt allowed"));
        }
        if !(self.slow_start_initial_capacity > 0.0 && self.slow_start_initial_capacity <= 1.0) {
            return Err(SettingsError("the cold share is not above 0 and up to 1"));
        }
        if !(self.overload_multiple > 0.0 && self.overload_multiple.is_finite()) {
            return Err(SettingsError("the multiple of the cold budget is not above 0"));
        }
        if !(0.0..=1.0).contains(&self.over_quota_weight) {
            return Err(SettingsError("the worth beyond a share is not between 0 and 1"));
        }
        if !(self.load_query_cost >= 0.0 && self.load_query_cost.is_finite()) {
            return Err(SettingsError("the price of a probe is negative or no number"));
        }
        for class in &self.classes {
            if !(class.latency_stretch >= 0.0 && class.latency_stretch.is_finite()) {
                return Err(SettingsError("a class's stretch is negative or no number"));
            }
            if !(class.priority_weight >= 0.0 && class.priority_weight.is_finite()) {
                return Err(SettingsError("a class's worth is negative or no number"));
            }
        }
        Ok(())
    }
}

/// Why a dispatcher could not be made from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It left the roster.
    #[default]
    Removed,
}

/// One line of the roster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Which worker.
    pub worker: WorkerId,
    /// The zone it stands in.
    pub zone: u32,
    /// The kind of machine.
    pub kind: u32,
    /// The cell, a group that shares the memory of keys.
    pub cell: u32,
    /// Whether it takes work.
    pub state: WorkerState,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// A figure that is the same for this worker at every dispatcher and unlike other workers', such as
    /// a hash of its name.
    pub hash_key: u64,
    /// Its size as listed: a figure to set against other workers' (see [`Settings::sizes_reflect_load`]).
    /// Taken for absent where it is not a finite figure above 0.
    pub size: Option<f64>,
}

/// What a roster event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that changed.
    Changes,
    /// All entries.
    Full,
    /// All entries as last seen before a restart, possibly old.
    Cached,
    /// A call failed or the subscription dropped; no entries.
    Failed,
}

/// News from discovery.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// What the entries are.
    pub kind: EndpointUpdateKind,
    /// The roster's version.
    pub version: u64,
    /// The entries.
    pub endpoints: &'a [Endpoint],
}

/// A client's request for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub request: RequestId,
    /// Its class, by index.
    pub class: u32,
    /// Its tenant, by index.
    pub tenant: u32,
    /// The slots it takes while it runs; absent is 1.
    pub slots: Option<f64>,
    /// The hint of its running time on a standard core, in seconds.
    pub cost_hint: Option<f64>,
    /// How long until the client gives up on this try.
    pub time_left: Micros,
}

impl Default for IncomingRequest {
    fn default() -> Self {
        IncomingRequest {
            request: RequestId(0),
            class: 0,
            tenant: 0,
            slots: None,
            cost_hint: None,
            time_left: SECOND,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Superseded,
}

impl Outcome {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// A worker's report of its load; what is absent was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Share of its cores that is busy.
    pub utilization: Option<f64>,
    /// Requests served a second.
    pub qps: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Whose attempt.
    pub request: RequestId,
    /// Which attempt, from 0 in order of sending.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer, by this outcome or before.
    pub request_finished: bool,
    /// How long ago it was sent.
    pub elapsed: Micros,
    /// The worker's load report, if one came along.
    pub report: Option<LoadReport>,
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The job has started to run.
    Started,
    /// This share of it is done.
    Done(f64),
    /// Its answer has begun to stream to the client, which now owns it.
    Streaming,
}

/// What a timer was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The regular round over all workers.
    PeriodicRefresh,
    /// A call to discovery is due.
    Subscription,
    /// A look at one request.
    HedgeCheck(RequestId),
    /// The next probe is due.
    LoadQuery,
}

/// What happens to a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// News from discovery.
    Endpoints(EndpointUpdate<'a>),
    /// A client's request came in; it is owed one final answer.
    Request(IncomingRequest),
    /// An attempt ended.
    AttemptCompleted(AttemptOutcome),
    /// News of an attempt that is still out.
    AttemptProgress {
        /// Whose attempt.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The news.
        progress: Progress,
    },
    /// The client left, or its final answer is overdue.
    ClientDisconnected(RequestId),
    /// A timer came due.
    TimerExpired(Timer),
    /// A probe came back.
    LoadQueryCompleted {
        /// The worker probed.
        worker: WorkerId,
        /// How it went.
        outcome: Outcome,
        /// The load report, if one came along.
        report: Option<LoadReport>,
    },
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its class is unknown, or no time is left.
    Invalid,
    /// Slots are scarce, and it is worth too little.
    Overloaded,
    /// No worker may have it.
    NoEligibleWorker,
    /// The lowest estimate exceeds the time left, by this much.
    TooLate(Micros),
    /// Its attempts are spent, or its class allows no more.
    AttemptsExhausted,
}

/// What the node is to do, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker, with no time-out but the client's deadline.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// How long from now until it ends there, as estimated.
        estimate: Micros,
    },
    /// Final answer: turned away, harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away: sooner, it would be turned away once more.
        retry_after: Micros,
        /// Why.
        reason: Rejection,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Bring the timer back after a span.
    StartTimer {
        /// How far from now.
        after: Micros,
        /// What it is for.
        timer: Timer,
    },
    /// Subscribe to the roster's changes.
    Subscribe,
    /// Ask a worker for its load; [`Event::LoadQueryEnded`] tells what came of it, once for each.
    QueryLoad {
        /// The worker.
        worker: WorkerId,
    },
}
