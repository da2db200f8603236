//! Waits until the views of the membership that the members respond with meet a condition. Each wait has a
//! timeout.
use std::time::{Duration, Instant};

use super::{Fleet, FleetMember};
use crate::client::ViewError;
use crate::process::SchedulerProcess;
use crate::view::MembershipView;

/// Time between two checks of the condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of lines of each member's log that the message of a failed wait shows.
const MAX_SHOWN_LOG_LINES: usize = 12;

/// A member's view of the membership, fetched for one check of a condition.
#[derive(Clone, Debug)]
pub struct ObservedView {
    /// The number of the member that responded with the view.
    pub member: usize,
    /// The view with which the member responded.
    pub view: MembershipView,
}

/// A member's response to the request for its view, or the error if there is no valid response.
struct ViewResponse {
    member: usize,
    view: Result<MembershipView, ViewError>,
}

impl Fleet {
    /// Waits until a condition holds for the views of all members that run and are not paused. Returns how
    /// long the wait took. The message of a failed wait contains `description`, which should describe the
    /// condition.
    ///
    /// # Panics
    /// Panics if the condition does not hold within the timeout, or if the process of a member exits by
    /// itself.
    pub fn wait_until(
        &mut self,
        timeout: Duration,
        description: &str,
        holds: impl Fn(&[ObservedView]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let responses = self.fetch_views();
            if all_views(&responses).is_some_and(|views| holds(&views)) {
                return start.elapsed();
            }
            if let Some(member) = self.exited_member() {
                let (name, log) = (Fleet::member_name(member), self.log_tail(member));
                panic!("{name} exited by itself while waiting for: {description}\n{log}");
            }
            if start.elapsed() > timeout {
                panic!("condition not met within {timeout:?}: {description}\n{}", self.describe(&responses));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the members of the fleet see each other. Only members that run and are not paused count.
    /// Each of them must see all the others and no other member. Returns how long the wait took. The message
    /// of a failed wait contains `when`, which should describe the situation.
    ///
    /// # Panics
    /// Panics as [`Fleet::wait_until`] does.
    pub fn wait_for_full_membership(&mut self, timeout: Duration, when: &str) -> Duration {
        let running: Vec<_> = self.running_members().into_iter().map(Fleet::member_name).collect();
        let description = format!("{when}, each of {running:?} sees exactly the others");
        self.wait_until(timeout, &description, |views| {
            views.iter().all(|ObservedView { member, view }| {
                let own_name = Fleet::member_name(*member);
                view.members.len() + 1 == running.len()
                    && running.iter().all(|name| *name == own_name || view.contains(name))
            })
        })
    }

    fn fetch_views(&self) -> Vec<ViewResponse> {
        let fetch = |member| ViewResponse { member, view: self.view(member) };
        self.running_members().into_iter().map(fetch).collect()
    }

    fn exited_member(&mut self) -> Option<usize> {
        let has_exited = |fleet_member: &mut FleetMember| {
            fleet_member.process.as_mut().is_some_and(SchedulerProcess::has_exited)
        };
        self.fleet_members.iter_mut().position(has_exited)
    }

    /// Formats the members' responses for the message of a failed wait. The last lines of each member's log
    /// follow its response.
    fn describe(&self, responses: &[ViewResponse]) -> String {
        let describe_one = |response: &ViewResponse| {
            let view = match &response.view {
                Ok(view) => describe_view(view),
                Err(error) => error.to_string(),
            };
            let (name, log) = (Fleet::member_name(response.member), self.log_tail(response.member));
            format!("{name}: {view}\n{log}")
        };
        responses.iter().map(describe_one).collect()
    }

    fn log_tail(&self, member: usize) -> String {
        let log = std::fs::read_to_string(self.log_path(member)).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        let shown = &lines[lines.len().saturating_sub(MAX_SHOWN_LOG_LINES)..];
        shown.iter().map(|line| format!("    {line}\n")).collect()
    }
}

/// Returns the members' views if all members responded with a view. Otherwise returns `None`.
fn all_views(responses: &[ViewResponse]) -> Option<Vec<ObservedView>> {
    let observed = |response: &ViewResponse| {
        let view = response.view.as_ref().ok()?.clone();
        Some(ObservedView { member: response.member, view })
    };
    responses.iter().map(observed).collect()
}

fn describe_view(view: &MembershipView) -> String {
    let visible: Vec<_> = view.members.iter().map(|member| &*member.name).collect();
    format!(
        "sees {visible:?}, local health multiplier {}, detected pauses {}, {:?}",
        view.local_health_multiplier, view.detected_pauses, view.rejected
    )
}
