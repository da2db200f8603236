//! Each door with a second, tiny implementation in memory: no socket, and the same rules.
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use copperspread_dispatcher::*;
use copperspread_event_log::writer::Recorder;
use copperspread_proxy::clock::{Clock, from_now};
use copperspread_proxy::context::Node;
use copperspread_proxy::discovery::static_list::Fixed;
use copperspread_proxy::discovery::{Membership, Source};
use copperspread_proxy::downstream::Front;
use copperspread_proxy::endpoints::ServiceEntries;
use copperspread_proxy::event_recorder::Witness;
use copperspread_proxy::messages::{Answer, Demand, Handed, News, Order, Wanted};
use copperspread_proxy::policy_handle::Decisions;
use copperspread_proxy::request_task;
use copperspread_proxy::shutdown::Ending;
use copperspread_proxy::upstream::Back;
use copperspread_settings::{List, Member, NodeSettings, Phase};
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// A back that keeps what it is given and answers by a script; without one it takes the job.
#[derive(Default)]
struct MemoryBack {
    script: Mutex<VecDeque<Handed>>,
    handed: Mutex<Vec<WorkerId>>,
    given_up: Mutex<Vec<WorkerId>>,
}

impl Back for MemoryBack {
    fn hand_over<'a>(
        &'a self,
        worker: WorkerId,
        _: &'a Order,
        _: Instant,
        _: &'a Wanted,
    ) -> BoxFuture<'a, Handed> {
        Box::pin(async move {
            self.handed.lock().expect("a lock").push(worker);
            self.script.lock().expect("a lock").pop_front().unwrap_or(Ok(()))
        })
    }
    fn name(&self, worker: WorkerId) -> Arc<str> {
        format!("r{}", worker.0).into()
    }
    fn give_up(&self, worker: WorkerId, _: &Order) {
        self.given_up.lock().expect("a lock").push(worker);
    }
}

/// A source whose lists come through a channel; each is told whole.
struct MemorySource(mpsc::Receiver<List>);

impl Source for MemorySource {
    fn follow(mut self: Box<Self>, membership: Membership) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some(list) = self.0.recv().await {
                if let Some(told) = membership.take(&list) {
                    membership.tell(list.complete, &told);
                }
            }
        })
    }
}

/// A front whose clients are a channel: each brings a demand and a way back for the answer's word.
struct MemoryFront {
    node: Arc<Node>,
    clients: Mutex<mpsc::Receiver<(Demand, oneshot::Sender<&'static str>)>>,
    busy: Arc<AtomicUsize>,
}

impl Front for MemoryFront {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some((demand, reply)) =
                poll_fn(|cx| self.clients.lock().expect("a lock").poll_recv(cx)).await
            {
                self.busy.fetch_add(1, Ordering::Relaxed);
                let mut held = request_task::begin(&self.node, demand);
                let busy = Arc::clone(&self.busy);
                tokio::spawn(async move {
                    let answer = held.answer().await;
                    busy.fetch_sub(1, Ordering::Relaxed);
                    let _ = reply.send(answer.word());
                });
            }
        })
    }
    fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

const CLASSES: [Effect; 3] =
    [Effect::Safe, Effect::Keyed { scope: KeyScope::Zone, window: 12 * SECOND }, Effect::Unsafe];

fn list(revision: u64, phases: &[Phase]) -> List {
    let member = |(number, &phase): (usize, &Phase)| Member {
        id: format!("r{number}"),
        address: format!("m{number}:1").parse().expect("an address"),
        zone: format!("z{number}"),
        kind: "m".into(),
        cell: number as u32,
        phase,
        started_at: None,
        size: None,
    };
    List { revision, complete: true, members: phases.iter().enumerate().map(member).collect() }
}

/// A scheduler of which all doors lead into memory. It is the front itself: `ask` makes a demand.
struct House {
    node: Arc<Node>,
    back: Arc<MemoryBack>,
    lists: mpsc::Sender<List>,
}

impl House {
    async fn open(script: &[Handed]) -> House {
        let class = |&effect: &Effect| Class { aim: 5 * SECOND, effect, ..Class::default() };
        let settings = Settings {
            classes: CLASSES.iter().map(class).collect(),
            max_attempts: 4,
            may_cancel: true,
            ..Settings::default()
        };
        let own = NodeSettings {
            classes: ["safe", "keyed", "once"].map(str::to_owned).to_vec(),
            effects: CLASSES.to_vec(),
            tenants: Vec::new(),
            zones: Vec::new(),
            kinds: Vec::new(),
            connect_within: SECOND,
            keepalive: SECOND,
            tells_when: false,
            max_retry_after: SECOND,
        };
        let clock = Clock::start();
        let entries = Arc::new(ServiceEntries::new(&own));
        let witness = Witness::new(Recorder::off(), Arc::clone(&entries), &own);
        let dispatcher = Box::new(Dispatcher::new(settings, 7).expect("good settings"));
        let decisions = Decisions::new(dispatcher, false, clock, Arc::clone(&witness));
        let back = Arc::new(MemoryBack { script: Mutex::new(script.to_vec().into()), ..Default::default() });
        let (lists, lists_told) = mpsc::channel(4);
        let membership = Membership::new(entries, Arc::clone(&decisions));
        tokio::spawn(Box::new(MemorySource(lists_told)).follow(membership));
        let ending = Ending::default();
        let node = Node { clock, decisions, back: back.clone(), settings: own, witness, ending };
        House { node: Arc::new(node), back, lists }
    }
    async fn told(&self, list: List) {
        self.lists.send(list).await.expect("the source lives");
        settle().await;
    }
    fn ask(&self, id: u64, class: u32) -> request_task::Held {
        request_task::begin(&self.node, self.demand(id, class))
    }
    fn demand(&self, id: u64, class: u32) -> Demand {
        let job = Job { request: RequestId(id), class, time_left: 4 * SECOND, ..Job::default() };
        let order = Order {
            id: format!("{id:016x}"),
            path: "/".parse().expect("a path"),
            headers: Default::default(),
            effect: CLASSES[class as usize],
            body: Bytes::new(),
            room: None,
        };
        Demand { job, deadline: from_now(job.time_left), order }
    }
    fn handed(&self) -> Vec<WorkerId> {
        self.back.handed.lock().expect("a lock").clone()
    }
    /// The back's news of a job, as a real server would tell it.
    fn news(&self, id: u64, worker: WorkerId, news: News) -> bool {
        self.node.decisions.news(RequestId(id), worker, news)
    }
}

/// Lets all tasks run until each waits: on one thread, some turns do.
async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

fn done() -> News {
    News::Ended(Outcome::Served, Some(Bytes::from_static(b"result")), None)
}

#[tokio::test(start_paused = true)]
async fn a_job_goes_from_door_to_door_without_a_socket() {
    let house = House::open(&[]).await;
    house.told(list(1, &[Phase::Serving])).await;
    let mut held = house.ask(1, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0)]);
    assert!(house.news(1, WorkerId(0), News::Progress(Progress::Started)));
    assert!(house.news(1, WorkerId(0), done()));
    assert_eq!(held.answer().await, Answer::Served(Bytes::from_static(b"result")));
    settle().await;
    assert!(!house.news(1, WorkerId(0), done()), "no flow is left for a second word");
    assert_eq!(house.ask(1, 2).answer().await, Answer::Repeated);
    assert_eq!(house.handed().len(), 1);
}

// What each first end allows, by class: served at the other server, or a failure after one hand-over.
#[tokio::test(start_paused = true)]
async fn what_may_have_run_goes_on_only_as_its_class_allows() {
    let ends = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot, Outcome::Reset, Outcome::Error];
    let mut id = 10;
    for first in ends {
        for class in 0..3 {
            let house = House::open(&[Err((first, None))]).await;
            house.told(list(1, &[Phase::Serving, Phase::Serving])).await;
            id += 1;
            let mut held = house.ask(id, class);
            settle().await;
            let handed = house.handed();
            // The two stand in different zones, so that a key's scope ends between them.
            let may = first.never_ran() || CLASSES[class as usize] == Effect::Safe;
            assert_eq!(handed.len(), if may { 2 } else { 1 }, "{first:?} of class {class}");
            if may {
                assert_ne!(handed[0], handed[1]);
                assert!(house.news(id, handed[1], done()));
                assert!(matches!(held.answer().await, Answer::Served(_)));
            } else {
                assert_eq!(held.answer().await, Answer::Failed);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_second_front_gives_answers_its_own_form() {
    let house = House::open(&[]).await;
    house.told(list(1, &[Phase::Serving])).await;
    let (clients, asked) = mpsc::channel(8);
    let (node, clients_told) = (Arc::clone(&house.node), Mutex::new(asked));
    let front: Arc<dyn Front> = Arc::new(MemoryFront { node, clients: clients_told, busy: Arc::default() });
    tokio::spawn(Arc::clone(&front).accept());
    let mut words = Vec::new();
    for (id, class) in [(1, 2), (2, 0)] {
        let (reply, word) = oneshot::channel();
        clients.send((house.demand(id, class), reply)).await.expect("it accepts");
        words.push(word);
    }
    settle().await;
    assert_eq!(front.busy(), 2);
    house.news(1, WorkerId(0), done());
    house.news(2, WorkerId(0), News::Ended(Outcome::Full, None, None));
    settle().await;
    assert_eq!((words.remove(0).await, words.remove(0).await), (Ok("served"), Ok("refused")));
    assert_eq!(front.busy(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_front_that_lets_go_has_the_scheduling_given_up_at_the_back() {
    let house = House::open(&[]).await;
    house.told(list(1, &[Phase::Serving])).await;
    let held = house.ask(1, 0);
    settle().await;
    drop(held);
    settle().await;
    assert_eq!(*house.back.given_up.lock().expect("a lock"), [WorkerId(0)]);
    assert_eq!(house.node.decisions.flows(), 0);
    assert!(!house.news(1, WorkerId(0), done()), "what is given up has ended");
}

#[tokio::test(start_paused = true)]
async fn a_back_that_says_nothing_leaves_an_answer_before_the_deadline() {
    let house = House::open(&[]).await;
    house.told(list(1, &[Phase::Serving])).await;
    let began = Instant::now();
    let mut held = house.ask(1, 2);
    assert_eq!(held.answer().await, Answer::Failed);
    assert!(began.elapsed().as_millis() <= 4_001, "{:?}", began.elapsed());
    assert_eq!(house.handed().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_source_drains_and_an_older_list_changes_nothing() {
    let house = House::open(&[]).await;
    house.told(list(2, &[Phase::Draining, Phase::Serving])).await;
    house.told(list(1, &[Phase::Serving, Phase::Draining])).await;
    for id in 1..4 {
        let _held = house.ask(id, 2);
        settle().await;
        assert_eq!(house.handed().last(), Some(&WorkerId(1)));
        house.news(id, WorkerId(1), done());
        settle().await;
    }
    house.told(list(3, &[])).await;
    assert!(matches!(house.ask(9, 2).answer().await, Answer::Refused { .. } | Answer::Failed));
    assert_eq!(house.handed().len(), 3, "nothing goes to what left");
}

#[tokio::test(start_paused = true)]
async fn a_fixed_list_serves_and_is_replaced() {
    let house = House::open(&[]).await;
    let (sender, lists) = watch::channel(list(1, &[Phase::Serving]));
    let entries = Arc::new(ServiceEntries::new(&house.node.settings));
    let membership = Membership::new(entries, Arc::clone(&house.node.decisions));
    tokio::spawn(Box::new(Fixed(lists)).follow(membership));
    settle().await;
    let _first = house.ask(1, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0)]);
    sender.send_replace(list(2, &[Phase::Draining, Phase::Serving]));
    settle().await;
    let _second = house.ask(2, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0), WorkerId(1)]);
}

#[test]
fn all_connections_together_fit_within_the_descriptors() {
    use copperspread_proxy::downstream::client_connection::places;
    use copperspread_proxy::upstream::http::{hand_overs, idle_most, probes};
    // The largest fleet, one connection being accepted, discovery's, and what the runtime holds.
    let (real_servers, own) = (22, 12);
    for sockets in [256, 384, 512, 768, 1024] {
        let real = hand_overs(sockets) + probes(sockets) + real_servers * idle_most(sockets);
        assert!(places(sockets, 192.0) + real + own <= sockets, "{sockets}");
    }
}
