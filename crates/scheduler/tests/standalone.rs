//! The program without a platform, over sockets: its own configuration, its log, and both while they
//! fail.
#![cfg(feature = "standalone")]
mod sockets;
use std::net::SocketAddr;

use sockets::*;

const DONE: &str = r#""state":"done","result":"paid""#;

/// A configuration with workers r0, r1, ... in this order.
fn toml(listen: SocketAddr, workers: &[(&str, SocketAddr)]) -> String {
    let mut text = format!("name = 'alone'\n[front.http]\nlisten = '{listen}'\n");
    for (number, (state, address)) in workers.iter().enumerate() {
        text += &format!("[[source.workers]]\nid = 'r{number}'\naddress = '{address}'\nstate = '{state}'\n");
    }
    text + "[[classes]]\nname = 'once'\naim = '9s'\n"
}

#[tokio::test]
async fn a_static_list_serves_and_is_followed_on_sighup() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let at = [one.address, two.address];
    let mut scheduler = Scheduler::standalone(|listen| toml(listen, &[("serving", at[0])]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    let changed = toml(scheduler.address, &[("draining", at[0]), ("serving", at[1])]);
    let lines = scheduler.reload(&changed).await;
    assert!(lines[0].contains("discovery moves"), "{lines:?}");
    // What was taken before ends where it is; what comes goes to the other.
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").body, "paid");
    for number in 2..5 {
        client.send_request("once", number, 9000).await;
        let id = two.next_request().await.accept();
        scheduler.call_back(&id, "r1", DONE).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
    assert!(one.is_idle());
    // Wrong in itself, wrong with another value, cut to nothing: each leaves the list as it is.
    for bad in [changed.replace("9s", "9 sheep"), changed.replace("aim = '9s'", "aim = '99s'"), String::new()]
    {
        let lines = scheduler.reload(&bad).await;
        assert!(lines[0].contains("the old configuration stays"), "{lines:?}");
    }
    client.send_request("once", 9, 9000).await;
    two.next_request().await.accept();
    // What only a new start can change is named, whatever part of the file it stands in.
    let other = "[log]\nformat = 'text'\n[records]\nkeep = 9\nfile = 'r'\n[limits]\ndescriptors = 300\n";
    let lines = scheduler.reload(&changed.replace("[front", &format!("{other}[front"))).await;
    assert!(lines[0].contains("new start: limits, log.format, records\""), "{lines:?}");
}

// Guards against a file that is replaced piece by piece while SIGHUP is heeded: its first half is a
// good configuration by itself, one that would take the only worker away.
#[tokio::test]
async fn a_half_written_file_is_waited_for() {
    for _ in 0..5 {
        if half_written().await {
            return;
        }
    }
    panic!("this machine put the file's states too slowly, five times");
}

/// False where the disk was so slow that the file did stand still half-written for as long as it takes to settle.
async fn half_written() -> bool {
    let (one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let at = [one.address, two.address];
    let mut scheduler = Scheduler::standalone(|listen| toml(listen, &[("serving", at[0])]), &[]).await;
    let whole = toml(scheduler.address, &[("draining", at[0]), ("serving", at[1])]);
    let half = whole.find("[[source.workers]]\nid = 'r1'").expect("a second worker");
    // Each state of the file is another one, as fast as they can be put there, for several times as long
    // as it takes to settle; a rename, so that no state between them is ever seen.
    let (draft, began) = (scheduler.path.with_extension("draft"), std::time::Instant::now());
    let put = |text: &str| {
        std::fs::write(&draft, text).expect("a draft");
        std::fs::rename(&draft, &scheduler.path).expect("in place");
    };
    put(&whole[..half]);
    scheduler.signal("HUP").await;
    let (mut state, mut last, mut longest) = (0, began, 0);
    while began.elapsed().as_millis() < 300 {
        state += 1;
        put(&format!("{}# {state}\n", &whole[..half]));
        longest = longest.max(last.elapsed().as_millis());
        last = std::time::Instant::now();
    }
    put(&whole);
    if longest.max(last.elapsed().as_millis()) >= 40 {
        return false;
    }
    let lines = scheduler.lines_until_configuration().await;
    assert!(lines.len() == 1 && lines[0].contains("discovery moves"), "one reading, of the whole: {lines:?}");
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    two.next_request().await.accept();
    true
}

#[tokio::test]
async fn sigterm_during_a_reload_ends_the_program_with_all_answered() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler = Scheduler::standalone(|listen| toml(listen, &[("serving", at)]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    // One shell sends them, so that they lie closer together than a file takes to settle.
    scheduler.signals(&["HUP", "TERM", "HUP"]).await;
    let line = scheduler.next_line().await;
    assert!(line.contains("ending, 1 flows to answer"), "the reload is not carried out any more: {line}");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

#[tokio::test]
async fn the_log_is_json_with_spans_and_its_level_follows_sighup() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler = Scheduler::standalone(|listen| toml(listen, &[("serving", at)]), &[]).await;
    let text = toml(scheduler.address, &[("serving", at)]);
    // Quiet at info: the first line after the start is the reload's.
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("an answer");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'loud'\n[front")).await;
    assert!(lines.len() == 1 && lines[0].contains("loud"), "{lines:?}");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'debug'\n[front")).await;
    assert!(lines[0].contains("discovery stays"), "{lines:?}");
    client.send_request("once", 2, 9000).await;
    let id = one.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("an answer");
    // The 202 may be heard after the call-back, so the two lines come in either order.
    let (mut answered, mut handed) = (None, None);
    while answered.is_none() || handed.is_none() {
        let line: serde_json::Value =
            serde_json::from_str(&scheduler.next_line().await).expect("a JSON line");
        match line["message"].as_str() {
            Some("final response") => answered = Some(line),
            Some("dispatch ended") => handed = Some(line),
            _ => {}
        }
    }
    let (answered, handed) = (answered.expect("a line"), handed.expect("a line"));
    assert_eq!(answered["response"], "served");
    assert_eq!(answered["span"]["request_id"], "0000000000000002");
    assert_eq!((&handed["span"]["worker"], &handed["spans"][0]["class"]), (&"r0".into(), &"once".into()));
}

// Guards against a log that nobody reads: its pipe fills, and the scheduler serves on and ends.
#[tokio::test]
async fn a_log_that_nobody_reads_neither_blocks_nor_ends_the_program() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let level = [("RUST_LOG", "trace")];
    let mut scheduler = Scheduler::standalone(|listen| toml(listen, &[("serving", at)]), &level).await;
    let mut client = scheduler.client().await;
    // Some lines of some hundred bytes a job: more than a pipe holds, and nobody takes one.
    for number in 1..400 {
        scheduler.serve_request(&mut client, &mut one, number, DONE).await;
    }
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("it ends").success());
    let mut lines = 0;
    let mut bytes = 0;
    while let Some(line) = scheduler.try_next_line().await {
        (lines, bytes) = (lines + 1, bytes + line.len());
    }
    assert!(bytes > 60_000, "the pipe was full: {bytes} bytes in {lines} lines");
}

// The README's first command, with ports of the test's own.
#[tokio::test]
async fn the_default_serves_a_job_with_its_toy() {
    let (_reserved, worker) = reserve_address();
    let text = |listen| toml(listen, &[("serving", worker)]);
    let scheduler = Scheduler::standalone_with(&["--toy"], text, &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 7, 9000).await;
    let answer = client.next_response().await.expect("an answer");
    assert_eq!((answer.status(), &*answer.body), (200, "0000000000000007 is done"));
}
