//! Tests that requests of several tenants on one client connection are each admitted by their own tenant's
//! share.
mod sockets;
use sockets::*;

/// A tenant with a negligible share of the capacity, and one with nearly all of it.
const TENANTS: &str = r#""tenants":[{"name":"small","allowance_per_s":0.00001},{"name":"big","allowance_per_s":1000}],"over_share_worth":0.01"#;
/// The callback fields of a worker with four slots, none of them free, and two waiting requests: slots are
/// scarce.
const BUSY: &str = r#""state":"done","result":"","load":{"x0":0,"waiting":2}"#;
/// The callback fields of a worker with four free slots.
const FREE: &str = r#""state":"done","result":"","load":{"x0":4,"waiting":0}"#;

/// Sends a request of a tenant; returns whether it is rejected. Otherwise the worker r0 completes it.
async fn is_rejected(
    scheduler: &Scheduler,
    client: &mut Client,
    worker: &mut FakeServer,
    (id, tenant): (u64, &str),
    callback_fields: &str,
) -> bool {
    let header = if tenant.is_empty() { String::new() } else { format!("X-Tenant-Id: {tenant}\r\n") };
    let work = format!("{header}X-Cost: 1000000\r\n");
    client.send(&request_text("once", id, 9000).replace("X-Cost: 1000\r\n", &work)).await;
    tokio::select! {
        response = client.next_response() => {
            assert_eq!(response.expect("a final response").status(), 503);
            true
        }
        received = worker.next_request() => {
            let id = received.accept();
            assert_eq!(scheduler.call_back(&id, "r0", callback_fields).await, 204);
            assert_eq!(client.next_response().await.expect("a final response").status(), 200);
            false
        }
    }
}

// Guards against requests that all count as the first tenant's: requests of a tenant within its share would
// be shed because of another tenant's excess.
#[tokio::test]
async fn a_request_counts_as_its_own_tenants_whatever_preceded_it_on_its_connection() {
    let mut worker = FakeServer::start().await;
    let with_tenants = format!(r#"sed -i 's/"unknown":\[1\]/{TENANTS}/' "$EDGE_CONFIG"; exec "$PROGRAM""#);
    let scheduler = Scheduler::start_by_command(&with_tenants, 1024, &[worker.address]).await;
    let mut client = scheduler.client().await;
    let mut ids = 1..;
    let mut next = || ids.next().expect("a next id");
    is_rejected(&scheduler, &mut client, &mut worker, (next(), "big"), FREE).await;
    for _ in 0..40 {
        is_rejected(&scheduler, &mut client, &mut worker, (next(), "big"), BUSY).await;
    }
    let (mut shed_of_small, mut shed_of_others) = (0, Vec::new());
    for _ in 0..10 {
        // Tenants by name and by index, an unknown name, and no name.
        for tenant in ["small", "big", "0", "1", "nobody", ""] {
            let rejected = is_rejected(&scheduler, &mut client, &mut worker, (next(), tenant), BUSY).await;
            match tenant {
                "small" | "0" => shed_of_small += u32::from(rejected),
                other if rejected => shed_of_others.push(other),
                _ => {}
            }
        }
    }
    assert_eq!(
        shed_of_small, 20,
        "all requests beyond the small tenant's share are shed while slots are scarce"
    );
    assert!(
        shed_of_others.len() <= 4,
        "of 40 requests within their tenants' shares, these were shed: {shed_of_others:?}"
    );
}
