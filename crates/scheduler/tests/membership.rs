//! Tests of two schedulers in one cluster: the status page, leaving, invalid configurations and socket
//! errors.
#![cfg(feature = "standalone")]
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use sockets::{Message, Scheduler, reserve_address, within};
use system_call_faults::FaultPlan;

/// Writes a cluster key file for one test; returns its path.
fn write_key(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.key", std::process::id()));
    std::fs::write(&path, content).expect("the key file is written");
    path
}

fn config(name: &str, listen: SocketAddr, cluster: &str) -> String {
    format!("name = '{name}'\n[front.http]\nlisten = '{listen}'\n{cluster}")
}

/// Returns the configuration's cluster section, with a port that the system chooses.
fn cluster_section(key: &std::path::Path, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let key = key.display();
    format!("[cluster]\nbind = '127.0.0.1:0'\nkey_file = '{key}'\nregion = 'nl'\nseeds = {seeds:?}\n")
}

async fn request_status_page(scheduler: &Scheduler) -> Message {
    scheduler.client().await.exchange("GET /-/cluster HTTP/1.1\r\nHost: s\r\n\r\n").await
}

async fn cluster_view(scheduler: &Scheduler) -> Value {
    let response = request_status_page(scheduler).await;
    assert_eq!((response.status(), &*response.headers["content-type"]), (200, "application/json"));
    serde_json::from_str(&response.body).expect("valid JSON")
}

/// Waits until a scheduler lists exactly these members.
async fn wait_until_it_lists(scheduler: &Scheduler, names: &[&str]) {
    let seen = async {
        loop {
            let view = cluster_view(scheduler).await;
            let members = view["members"].as_array().expect("a list of members");
            if members.iter().map(|member| member["name"].as_str()).eq(names.iter().copied().map(Some)) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    within("a view with the members", seen).await;
}

#[tokio::test]
async fn two_schedulers_see_each_other_until_one_leaves() {
    let key = write_key("two", "a key for this test alone\n");
    let mut one = Scheduler::standalone(|at| config("one", at, &cluster_section(&key, &[])), &[]).await;
    let own = cluster_view(&one).await["own"].clone();
    let address: SocketAddr =
        own["address"].as_str().and_then(|at| at.parse().ok()).expect("a socket address");
    assert_eq!((&own["name"], &own["zone"], &own["region"]), (&"one".into(), &"a".into(), &"nl".into()));
    // A generation is a Unix time in milliseconds.
    assert!(own["generation"].as_u64() > Some(1_700_000_000_000) && own["returned"] == 0, "{own}");
    let mut two =
        Scheduler::standalone(|at| config("two", at, &cluster_section(&key, &[address])), &[]).await;
    wait_until_it_lists(&one, &["two"]).await;
    wait_until_it_lists(&two, &["one"]).await;
    let seen = cluster_view(&two).await;
    assert_eq!(seen["members"][0], own);
    for count in ["packets_in", "packets_out", "bytes_in", "bytes_out"] {
        assert!(seen[count].as_u64() > Some(0), "{count}");
    }
    assert_eq!((&seen["doubt"], &seen["rejected"]["forged"]), (&0.into(), &0.into()));

    let changed = cluster_section(&key, &[]).replace("'nl'", "'be'");
    let lines = one.reload(&config("one", one.address, &changed)).await;
    for part in ["member up", r#"only with a restart","parts":"cluster""#] {
        assert!(lines.iter().any(|line| line.contains(part)), "{part}: {lines:?}");
    }

    two.terminate().await;
    assert!(within("the exit", two.child.wait()).await.expect("the process exits").success());
    wait_until_it_lists(&one, &[]).await;
    let mut lines = Vec::new();
    while let Some(line) = two.try_next_line().await {
        lines.push(line);
    }
    for part in ["left the cluster", "membership ended"] {
        assert!(lines.iter().any(|line| line.contains(part)), "{part}: {lines:?}");
    }
}

#[tokio::test]
async fn without_membership_there_is_no_status_page_and_an_unusable_key_file_is_rejected() {
    let off = Scheduler::standalone(|at| config("off", at, ""), &[]).await;
    assert_eq!(request_status_page(&off).await.status(), 404);

    let (short, absent) = (write_key("short", "secret\n"), PathBuf::from("/nowhere/cluster.key"));
    for (key, expected_error) in
        [(&short, "a cluster key of 6 bytes; 16 at least"), (&absent, "No such file")]
    {
        let file = short.with_extension("toml");
        std::fs::write(&file, config("x", off.address, &cluster_section(key, &[])))
            .expect("the configuration is written");
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"))
            .arg("check")
            .arg(&file)
            .output();
        let (run, name) = (run.expect("the process runs"), file.display());
        let errors = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(1), "{errors}");
        assert!(
            errors.contains(&format!("{name}:6:12: cluster.key_file: ")) && errors.contains(expected_error),
            "{errors}"
        );
        assert!(!errors.contains("secret"), "{errors}");
    }
}

/// Starts a member; its own sockets and those to its peer have the kind `membership` in the fault plan.
async fn start_member(name: &str, address: SocketAddr, peer: SocketAddr, plan: &FaultPlan) -> Scheduler {
    for address in [address, peer] {
        plan.add(&format!("address membership {address}"));
    }
    let key = write_key(name, "a key for this test alone\n");
    let cluster = cluster_section(&key, &[peer]).replace("127.0.0.1:0'", &format!("{address}'"));
    Scheduler::standalone(|at| config(name, at, &cluster), &plan.variables()).await
}

// Guards against a socket error that ends membership, stops a member from receiving, or puts it into a busy
// loop.
#[tokio::test]
async fn members_see_each_other_after_errors_on_their_sockets() {
    let statement = |call: &str, errno: &str| format!("fail {call} membership {errno} calls 1..3\n");
    for errno in ["EMFILE", "ECONNABORTED", "ENETUNREACH", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH"] {
        let calls = ["accept4", "connect", "recv", "send"].map(|call| statement(call, errno)).concat();
        let plan = FaultPlan::new(&(calls + "fail epoll_wait any EINTR every 2"));
        let ((_one, address_one), (_two, address_two)) = (reserve_address(), reserve_address());
        let (first, second) = (
            start_member("one", address_one, address_two, &plan).await,
            start_member("two", address_two, address_one, &FaultPlan::new("")).await,
        );
        wait_until_it_lists(&first, &["two"]).await;
        wait_until_it_lists(&second, &["one"]).await;
        for call in ["recv", "send"] {
            assert!(
                plan.count(&format!("{call} membership {errno}")) > 0,
                "{call} {errno}: {:?}",
                plan.injected()
            );
        }
    }
}

// Guards against a busy loop on a persistent error.
#[tokio::test]
async fn a_member_that_can_accept_no_stream_backs_off_and_receives_packets() {
    let plan = FaultPlan::new("fail accept4 membership EMFILE calls 1..");
    let ((_one, address_one), (_two, address_two)) = (reserve_address(), reserve_address());
    let first = start_member("one-deaf", address_one, address_two, &plan).await;
    let second = start_member("two-heard", address_two, address_one, &FaultPlan::new("")).await;
    wait_until_it_lists(&first, &["two-heard"]).await;
    let fault = "accept4 membership EMFILE";
    plan.wait_for(fault, 1).await;
    let (since, before) = (std::time::Instant::now(), plan.count(fault));
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let (elapsed, failed) = (since.elapsed(), plan.count(fault) - before);
    assert!(failed as f64 <= 100.0 * (elapsed.as_secs_f64() + 1.0), "{failed} failed calls in {elapsed:?}");
    wait_until_it_lists(&second, &["one-deaf"]).await;
}
