//! The attempts of one request: sends it until an endpoint answers or no retry is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::http::Response;
use turmeric_types::{AgentId, RefusalProof, RequestId, RequestOutcome};
use uuid::Uuid;

use super::answer::{RETRY_BASE, spread};
use super::body::RequestBody;
use super::dispatch::{AttemptPlan, AttemptResult, attempt};
use super::routes::AgentLink;
use super::state::EntryState;
use super::trial::{ArmOutcome, ExperimentSpan, RoutingDecision};
use crate::headers;
use crate::http::set_header;
use crate::timeline::TimelineEvent;

/// Maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 3;

/// The final result of all attempts.
pub(super) struct ServeResult {
    pub(super) outcome: RequestOutcome<Response<Body>>,
    /// The delay after which the caller may retry.
    pub(super) retry_after: Duration,
    /// Whether the last attempt was lost on an unresponsive connection and then
    /// fenced, so that a retry adds nothing to the endpoint's load.
    never_arrived: bool,
}

/// Serves the request under the routing policy that is in force for it.
pub(super) async fn run_attempts(
    state: &Arc<EntryState>,
    plan: AttemptPlan,
    body: RequestBody,
) -> ServeResult {
    let decision = RoutingDecision::new(state, &plan);
    let span = ExperimentSpan::new(state, &decision, Instant::now());
    let mut result = make_attempts(state, &decision, plan, body).await;
    span.end(match &result.outcome {
        RequestOutcome::Answered(_) => ArmOutcome::Answered,
        RequestOutcome::NotRun(_) => ArmOutcome::Refused,
        RequestOutcome::Unknown => ArmOutcome::Unknown,
    });
    if let RequestOutcome::Answered(response) = &mut result.outcome {
        set_decision_headers(response, &decision);
    }
    result
}

/// Sets the response headers that name the routing policy and the experiment.
fn set_decision_headers(response: &mut Response<Body>, decision: &RoutingDecision) {
    let response_headers = response.headers_mut();
    set_header(response_headers, headers::POLICY, &decision.policy);
    if let Some(experiment) = &decision.experiment {
        set_header(response_headers, headers::EXPERIMENT, &experiment.run);
        set_header(response_headers, headers::ARM, &experiment.arm);
    }
}

/// Makes attempts until an endpoint answers or no retry is allowed.
async fn make_attempts(
    state: &Arc<EntryState>,
    decision: &RoutingDecision,
    mut plan: AttemptPlan,
    mut body: RequestBody,
) -> ServeResult {
    state.routes().budget(&plan.head.caller).earn();
    let mut tried: Vec<AgentId> = Vec::new();
    let mut may_have_run = false;
    let mut last = ServeResult {
        outcome: RequestOutcome::NotRun(RefusalProof::NeverSent),
        retry_after: spread(state, RETRY_BASE),
        never_arrived: false,
    };
    for attempt_index in 0..ATTEMPT_LIMIT {
        if attempt_index > 0 && !may_retry(state, &plan, &last, &body) {
            break;
        }
        let now = state.clock.now();
        let chosen = state
            .routes()
            .begin(&plan.head.service, decision.policy, &tried, now);
        let (Some(link), Some(body)) = (chosen, body.take()) else {
            break;
        };
        if attempt_index > 0 {
            plan.request = new_request_id();
        }
        let mut guard = RouteGuard::new(state, &link, &plan);
        let result = attempt(state, &link, &plan, body).await;
        guard.is_recorded = true;
        if !result.is_connection_failure {
            tried.push(link.agent.clone());
        }
        record_attempt(state, &link, &plan, &result);
        let retry_after = result
            .retry_after
            .unwrap_or_else(|| spread(state, RETRY_BASE));
        let outcome = if may_have_run {
            result.outcome.after_unknown()
        } else {
            result.outcome
        };
        let is_refused = matches!(outcome, RequestOutcome::NotRun(_));
        may_have_run |= matches!(outcome, RequestOutcome::Unknown);
        last = ServeResult {
            outcome,
            retry_after,
            never_arrived: result.is_connection_failure && is_refused,
        };
        if matches!(last.outcome, RequestOutcome::Answered(_)) {
            break;
        }
    }
    last
}

/// Removes a request from the route's count if its caller disconnects.
struct RouteGuard<'a> {
    state: &'a EntryState,
    link: &'a AgentLink,
    service: turmeric_types::ServiceName,
    is_recorded: bool,
}

impl<'a> RouteGuard<'a> {
    fn new(state: &'a EntryState, link: &'a AgentLink, plan: &AttemptPlan) -> Self {
        Self {
            state,
            link,
            service: plan.head.service.clone(),
            is_recorded: false,
        }
    }
}

impl Drop for RouteGuard<'_> {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        if let Some(table) = self.state.routes().table(&self.service) {
            table.release(&self.link.agent);
        }
    }
}

/// Returns whether another attempt is safe and within the caller's retry budget.
fn may_retry(
    state: &EntryState,
    plan: &AttemptPlan,
    last: &ServeResult,
    body: &RequestBody,
) -> bool {
    last.outcome.may_retry(plan.head.is_idempotent())
        && body.can_repeat()
        && Instant::now() < plan.deadline
        && (last.never_arrived || state.routes().budget(&plan.head.caller).spend())
}

/// Records the result of an attempt in the route table, the metrics and the timeline.
fn record_attempt(
    state: &EntryState,
    link: &AgentLink,
    plan: &AttemptPlan,
    result: &AttemptResult,
) {
    let now = state.clock.now();
    {
        let mut routes = state.routes();
        if let Some(table) = routes.table(&plan.head.service) {
            if let Some(micros) = result.service_micros {
                table.finish(&link.agent, micros, now);
            } else if result.is_failure {
                table.fail(&link.agent, now);
            } else {
                table.release(&link.agent);
            }
            if let Some(load) = result.load {
                table.report_load(&link.agent, load);
            }
        }
    }
    let (kind, text) = match &result.outcome {
        RequestOutcome::Answered(_) => {
            state.metrics.count("request.answered");
            return;
        }
        RequestOutcome::NotRun(proof) => ("not-run", proof.to_string()),
        RequestOutcome::Unknown => ("unknown", "the response did not arrive in full".to_owned()),
    };
    state.metrics.count(&format!("request.{kind}"));
    state.timeline.add(
        TimelineEvent::new(kind, text)
            .with_request(plan.request)
            .with_agent(&link.agent),
    );
}

/// Returns a new request identifier (UUID version 7).
pub(super) fn new_request_id() -> RequestId {
    RequestId::from(Uuid::now_v7())
}
