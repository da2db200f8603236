//! Clients: one task a job, over all its tries.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{Micros, RequestId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use rand::RngExt;
use tokio::time::{sleep, timeout_at};

use crate::emulate::stage::{LONGEST_BODY, Sender, Stage, result};
use crate::load::job_request;
use crate::model::arrivals::Arrival;
use crate::model::random::RandomStream;
use crate::outcome::End;
use crate::referee::{GRACE, Heard};
use crate::scenario::micros;

/// What a client hears.
enum Said {
    Served(Bytes),
    Refused(Micros),
    Failed,
    Broken,
}

/// The scheduler that clients reach who want one: it, or the next of its zone that is up, or of any.
fn front(stage: &Stage, wanted: u32) -> u32 {
    let (all, zones) = (stage.schedulers.len() as u32, stage.scenario.zones);
    let after = || (0..all).map(|step| (wanted + step) % all);
    let up = |at: &u32| stage.schedulers[*at as usize].1.get();
    let near = after().filter(up).find(|at| at % zones == wanted % zones);
    near.or_else(|| after().find(up)).unwrap_or(wanted)
}

/// A client's job, from its first try to its end.
pub async fn job(stage: Rc<Stage>, client: Sender, number: u64, of: Arrival, mut chance: RandomStream) {
    let class = &stage.scenario.classes[of.class as usize];
    let gives_up = of.at + micros(class.deadline);
    let mut retries = stage.scenario.clients.retries;
    stage.act(|world| world.job(number, of));
    let end = loop {
        let scheduler = front(&stage, of.scheduler);
        let id = stage.act(|world| world.ask(number, scheduler, gives_up));
        let left = u128::from(gives_up.saturating_sub(stage.now()) / 1_000);
        let target = stage.schedulers[scheduler as usize].0;
        let request = job_request(target, &class.name, (id, number), left, &of);
        let by = stage.instant(gives_up + micros(stage.scenario.clients.grace));
        let said = timeout_at(by, ask(&client, request)).await;
        let now = stage.now();
        let Ok(said) = said else {
            stage.act(|world| world.referee.gave_up(now, RequestId(id)));
            break End::Lost;
        };
        let heard = match &said {
            // A result of another request is as forged as one that nobody made.
            Said::Served(body) if *body == result(id).as_bytes() => Heard::Served,
            Said::Served(_) => Heard::Forged,
            Said::Refused(_) | Said::Failed => Heard::Said,
            Said::Broken => Heard::Broken,
        };
        stage.act(|world| world.referee.answered(now, RequestId(id), heard));
        match said {
            Said::Served(_) => {
                let wanted = micros(class.aim + class.stretch * of.work);
                break if now.saturating_sub(of.at) <= wanted { End::InTime } else { End::Late };
            }
            Said::Refused(after) => {
                let clients = &stage.scenario.clients;
                let wait = clients.again.wait(after, clients.heed, chance.random());
                if retries == 0 || now + wait + GRACE >= gives_up {
                    break End::Refused;
                }
                retries -= 1;
                sleep(Duration::from_micros(wait)).await;
            }
            Said::Failed | Said::Broken => break End::Failed,
        }
    };
    let took = stage.now().saturating_sub(of.at);
    stage.act(|world| world.tally.ended(&of, class, took, end));
}

async fn ask(client: &Sender, request: Option<Request<Full<Bytes>>>) -> Said {
    let Some(request) = request else { return Said::Failed };
    let Ok(answer) = client.request(request).await else { return Said::Broken };
    let (head, body) = answer.into_parts();
    // The last byte gives the answer's time.
    let Ok(body) = Limited::new(body, LONGEST_BODY).collect().await else { return Said::Broken };
    match head.status {
        StatusCode::OK => Said::Served(body.to_bytes()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let after = head.headers.get("retry-after").and_then(|value| value.to_str().ok());
            let after = after.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite());
            Said::Refused(micros(after.unwrap_or(0.0)))
        }
        _ => Said::Failed,
    }
}
