//! Probes that the module asks for, over sockets to real servers of every kind.
mod sockets;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use copperspread_decisions::*;
use copperspread_node::assembly::{Assembled, assemble};
use copperspread_records::writer::Recorder;
use copperspread_settings::platform;
use sockets::*;
use tokio::sync::mpsc;

type End = (u32, Outcome, Option<Report>);

/// Asks, at any event, for the probes that the test wants, and tells the test what came back.
struct Asks(Arc<Mutex<Vec<u32>>>, mpsc::UnboundedSender<End>);

impl Decide for Asks {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Event::Probed { worker, outcome, report } = event {
            let _ = self.1.send((worker.0, outcome, report));
        }
        let wanted = std::mem::take(&mut *self.0.lock().expect("a lock"));
        actions.extend(wanted.into_iter().map(|worker| Action::Probe { worker: WorkerId(worker) }));
    }
}

struct House(Assembled, Arc<Mutex<Vec<u32>>>, mpsc::UnboundedReceiver<End>);

impl House {
    async fn open(members: &[String]) -> House {
        let any = "127.0.0.1:0".parse().expect("an address");
        let start = platform::read_start(&config(any, any, &list(1, true, members))).expect("it is good");
        let (wanted, (sender, ends)) = (Arc::<Mutex<_>>::default(), mpsc::unbounded_channel());
        let decide = Box::new(Asks(Arc::clone(&wanted), sender));
        House(assemble(&start, decide, &Recorder::off()).await.expect("a port"), wanted, ends)
    }
    fn ask(&self, workers: &[u32]) {
        self.1.lock().expect("a lock").extend(workers);
        self.0.membership.tell(false, &[]);
    }
    async fn end(&mut self) -> End {
        within("a probe's end", self.2.recv()).await.expect("the module lives")
    }
}

#[tokio::test]
async fn each_probe_comes_back_once_whatever_the_real_server_does() {
    let load = Report { inflight: Some(7.0), free_slots: Some(1.5), ..Report::default() };
    let only = |free_slots| Some(Report { free_slots: Some(free_slots), ..Report::default() });
    let (ok, header) = ("200 OK", "X-Server-Load: TEXT x0=4\r\n");
    let cases = [
        (ok, "", "TEXT inflight=7, x0=1.5", Outcome::Served, Some(load)),
        (ok, "", r#"{"inflight": 7, "x0": 1.5}"#, Outcome::Served, Some(load)),
        (ok, header, "", Outcome::Served, only(4.0)),
        (ok, "", "[1, x0=?", Outcome::Served, None),
        ("503 Service Unavailable", "", r#"{"load":{"x0":0}}"#, Outcome::Error, only(0.0)),
        ("404 Not Found", "", "", Outcome::Error, None),
        ("", "", "a broken connection", Outcome::Reset, None),
    ];
    let (_reserved, refuses) = reserve();
    let (mut silent, mut drains) = (Party::new().await, Party::new().await);
    let mut members = vec![member("refuses", refuses, "SERVING"), member("s", silent.address, "SERVING")];
    members.push(member("drains", drains.address, "DRAINING"));
    let mut parties = Vec::new();
    for number in 0..cases.len() {
        parties.push(Party::new().await);
        members.push(member(&format!("r{number}"), parties[number].address, "SERVING"));
    }
    let mut house = House::open(&members).await;
    // The silent one is asked twice, and nobody has the number 90.
    house.ask(&[0, 1, 1, 2, 90, 3, 4, 5, 6, 7, 8, 9]);
    for (party, (status, header, body, ..)) in parties.iter_mut().zip(&cases) {
        let asked = party.asked().await;
        assert_eq!(asked.message.first, "GET /-/load HTTP/1.1");
        if !status.is_empty() {
            asked.answer(status, header, body);
        }
    }
    let mut ends = HashMap::<u32, Vec<_>>::new();
    for _ in 0..12 {
        let (worker, outcome, report) = house.end().await;
        ends.entry(worker).or_default().push((outcome, report));
    }
    assert_eq!(ends[&0], [(Outcome::ConnectFailed, None)]);
    assert_eq!(ends[&1], [(Outcome::Moot, None), (Outcome::TimedOut, None)], "one at a time");
    assert_eq!((&ends[&2], &ends[&90]), (&vec![(Outcome::Moot, None)], &vec![(Outcome::Moot, None)]));
    for (number, (.., outcome, report)) in cases.iter().enumerate() {
        assert_eq!(ends[&(number as u32 + 3)], [(*outcome, *report)], "case {number}");
    }
    assert!(!silent.idle() && silent.idle() && drains.idle());
    house.0.end();
    house.ask(&[3]);
    assert_eq!(house.end().await, (3, Outcome::Moot, None), "none while it ends");
}

// Guards against probes that pile up at silent real servers and take the descriptors of the rest.
#[tokio::test]
async fn no_more_probes_are_under_way_than_have_a_place() {
    let silent = Party::new().await;
    let members: Vec<_> = (0..40).map(|n| member(&format!("r{n}"), silent.address, "SERVING")).collect();
    let mut house = House::open(&members).await;
    house.ask(&(0..40).collect::<Vec<_>>());
    let mut moot = 0;
    for _ in 0..40 {
        moot += u32::from(house.end().await.1 == Outcome::Moot);
    }
    assert_eq!(moot, 24);
}
