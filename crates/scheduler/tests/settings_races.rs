//! One request sees one set of settings to its end, and no request another's.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

const DONE: &str = r#""state":"done","result":"ok""#;

// Guards against a class, deadline or key that stays from the request before on the same connection.
#[tokio::test]
async fn requests_on_one_connection_keep_their_own_class_deadline_and_key() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let timeout_millis = |asked: &ReceivedRequest| -> u64 {
        let text = asked.message.headers["x-timeout"].strip_suffix('m').expect("milliseconds");
        text.parse().expect("a number")
    };
    // A long one; a short one that nobody ends; a long one of a third class again, with other headers.
    client.send(&request_text("once", 1, 9000).replace("k7", "first")).await;
    let first = server.next_request().await;
    assert!((8_000..9_000).contains(&timeout_millis(&first)), "{}", timeout_millis(&first));
    assert_eq!(first.message.headers["idempotency-key"], "first");
    assert!(first.message.first_line.starts_with("POST /once/"));
    let id = first.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);

    let since = Instant::now();
    let plain = request_text("safe", 2, 600)
        .replace("Idempotency-Key: k7\r\n", "")
        .replace("Cost: 1000", "Cost: 2000");
    client.send(&plain).await;
    let second = server.next_request().await;
    assert!((300..600).contains(&timeout_millis(&second)), "{}", timeout_millis(&second));
    assert!(!second.message.headers.contains_key("idempotency-key"));
    assert_eq!(second.message.headers["x-cost"], "2000");
    second.accept();
    // Its own deadline, not the first one's.
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());

    let cancellation = server.next_request().await;
    assert_eq!(cancellation.message.first_line, format!("DELETE /jobs/{:016x} HTTP/1.1", 2));
    cancellation.respond("200 OK", "", "");
    client.send(&request_text("keyed", 3, 7000).replace("k7", "third")).await;
    let third = server.next_request().await;
    assert!((6_000..7_000).contains(&timeout_millis(&third)), "{}", timeout_millis(&third));
    assert_eq!(third.message.headers["idempotency-key"], "third");
    let id = third.accept();
    // Past the second one's deadline.
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
}

// The file that is read again makes every class safe to repeat; a request that began before keeps to what it
// began with, and so does one that begins after, as only a new start takes settings.
#[tokio::test]
async fn a_reload_during_an_attempt_changes_no_requests_settings() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[one.address, two.address]).await;
    for (number, reloads) in [(1, true), (2, false)] {
        let mut client = scheduler.client().await;
        client.send_request("once", number, 9000).await;
        let asked =
            tokio::select! { asked = one.next_request() => asked, asked = two.next_request() => asked };
        if reloads {
            let text = std::fs::read_to_string(&scheduler.path).expect("a configuration");
            let changed = text.replace("side_effect", "pure").replace("\"deadline_s\":9", "\"deadline_s\":1");
            assert_ne!(text, changed);
            let lines = scheduler.reload(&changed).await;
            assert!(
                lines.iter().any(|line| line.contains(r#"only with a restart","parts":"settings"#)),
                "{lines:?}"
            );
        }
        // The connection breaks under it: it may have run.
        drop(asked);
        assert_eq!(client.next_response().await.expect("an answer").status(), 500);
        assert!(one.is_idle() && two.is_idle(), "it is not sent again");
    }
}
