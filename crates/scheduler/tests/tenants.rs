//! Requests of several tenants on one client's connection, each by its own tenant's settings.
mod sockets;
use sockets::*;

/// A tenant with no part of the service to speak of, and one with all of it.
const TENANTS: &str = r#""tenants":[{"name":"small","allowance_per_s":0.00001},{"name":"big","allowance_per_s":1000}],"over_share_worth":0.01"#;
/// What a worker of four slots reports that has two requests waiting: slots are scarce.
const BUSY: &str = r#""state":"done","result":"","load":{"x0":0,"waiting":2}"#;
const FREE: &str = r#""state":"done","result":"","load":{"x0":4,"waiting":0}"#;

/// Whether a request of a tenant is refused; one that is not is done at the worker r0.
async fn refused(
    scheduler: &Scheduler,
    client: &mut Client,
    server: &mut FakeServer,
    (id, tenant): (u64, &str),
    done: &str,
) -> bool {
    let header = if tenant.is_empty() { String::new() } else { format!("X-Tenant-Id: {tenant}\r\n") };
    let work = format!("{header}X-Cost: 1000000\r\n");
    client.send(&request_text("once", id, 9000).replace("X-Cost: 1000\r\n", &work)).await;
    tokio::select! {
        heard = client.next_response() => {
            assert_eq!(heard.expect("an answer").status(), 503);
            true
        }
        asked = server.next_request() => {
            let id = asked.accept();
            assert_eq!(scheduler.call_back(&id, "r0", done).await, 204);
            assert_eq!(client.next_response().await.expect("an answer").status(), 200);
            false
        }
    }
}

// Guards against requests that all count as the first tenant's: those of one that stays inside its share
// were shed for another's excess.
#[tokio::test]
async fn a_request_counts_as_its_own_tenants_whatever_preceded_it_on_its_connection() {
    let mut server = FakeServer::start().await;
    let with_tenants = format!(r#"sed -i 's/"unknown":\[1\]/{TENANTS}/' "$EDGE_CONFIG"; exec "$PROGRAM""#);
    let scheduler = Scheduler::start_by_command(&with_tenants, 1024, &[server.address]).await;
    let mut client = scheduler.client().await;
    let mut ids = 1..;
    let mut next = || ids.next().expect("a number");
    refused(&scheduler, &mut client, &mut server, (next(), "big"), FREE).await;
    for _ in 0..40 {
        refused(&scheduler, &mut client, &mut server, (next(), "big"), BUSY).await;
    }
    let (mut of_small, mut of_others) = (0, Vec::new());
    for _ in 0..10 {
        // By name, by number, and garbled or none, which is nobody's.
        for tenant in ["small", "big", "0", "1", "nobody", ""] {
            let refused = refused(&scheduler, &mut client, &mut server, (next(), tenant), BUSY).await;
            match tenant {
                "small" | "0" => of_small += u32::from(refused),
                other if refused => of_others.push(other),
                _ => {}
            }
        }
    }
    assert_eq!(of_small, 20, "all beyond the small tenant's share are shed while slots are scarce");
    assert!(of_others.len() <= 4, "of 40 inside their share were shed: {of_others:?}");
}
