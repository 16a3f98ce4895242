//! Requests at a steady rate, modelled on incoming photo checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use turmeric_types::SplitMixRandom;

use super::MixedPlan;
use crate::percentile::DurationSample;
use turmeric_testbed::{HttpAnswer, LoadClient, RequestForm, digest_of, new_key};

/// Timeout that a caller sets for its request, in milliseconds.
const TIMEOUT_MILLIS: u64 = 2000;

/// Maximum attempts of a caller to send one request.
const ATTEMPT_LIMIT: u32 = 4;

/// Share of requests with an idempotency key, which must run at most once, in percent.
const KEYED_PERCENT: usize = 50;

/// Frequency of each body length, in permille, and the length in bytes.
const BODY_LENGTHS: [(usize, usize); 4] = [
    (700, 40 << 10),
    (250, 200 << 10),
    (45, 1 << 20),
    (5, 8 << 20),
];

/// Outcomes of all requests.
#[derive(Default)]
pub(crate) struct RequestTotals {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) unknown: u64,
    pub(crate) lost: u64,
    /// Refusals by status and code; each attempt counts.
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) times: DurationSample,
    /// Responses that belong to another request or are incomplete.
    pub(crate) wrong_answers: u64,
    /// Idempotency keys of requests whose last outcome was "not-run".
    pub(crate) not_run_keys: Vec<String>,
    /// Idempotency keys of requests that were answered.
    pub(crate) answered_keys: Vec<String>,
}

/// A request and the digest of its body.
struct GeneratedRequest {
    form: RequestForm,
    digest: u32,
}

/// Request bodies that are generated once and shared, each with its digest.
struct BodyPool {
    bodies: Vec<(Bytes, u32)>,
}

impl BodyPool {
    fn new() -> Self {
        let bodies = BODY_LENGTHS
            .iter()
            .map(|(_, length)| {
                let bytes: Vec<u8> = (0..*length).map(|index| (index % 251) as u8).collect();
                let digest = digest_of(&bytes);
                (Bytes::from(bytes), digest)
            })
            .collect();
        Self { bodies }
    }

    fn pick(&self, random: &mut SplitMixRandom) -> (Bytes, u32) {
        let mut draw = random.next_below(1000);
        for (index, (permille, _)) in BODY_LENGTHS.iter().enumerate() {
            if draw < *permille {
                return self.bodies[index].clone();
            }
            draw -= permille;
        }
        self.bodies[0].clone()
    }
}

/// Sends requests at the plan's rate for its duration; returns once all have an outcome.
pub(crate) async fn drive(client: &LoadClient, plan: &MixedPlan) -> RequestTotals {
    let totals = Arc::new(Mutex::new(RequestTotals::default()));
    let pool = BodyPool::new();
    let mut random = SplitMixRandom::new(plan.seed);
    let pause = Duration::from_secs(1) / plan.rate.max(1) as u32;
    let mut ticks = tokio::time::interval(pause);
    let started_at = Instant::now();
    let mut sending = tokio::task::JoinSet::new();
    while started_at.elapsed() < plan.duration {
        ticks.tick().await;
        let request = generate_request(&pool, &mut random);
        let entry = plan.entries[random.next_below(plan.entries.len())];
        let totals = totals.clone();
        let client = client.clone();
        let entries = plan.entries.clone();
        sending.spawn(async move {
            send_until_final(&client, &entries, entry, request, &totals).await;
        });
    }
    while sending.join_next().await.is_some() {}
    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *totals)
}

fn generate_request(pool: &BodyPool, random: &mut SplitMixRandom) -> GeneratedRequest {
    let (body, digest) = pool.pick(random);
    let callers = ["boutique", "pawnbroker", "partner-app"];
    let mut form = RequestForm::new(format!("{:016x}", random.next_bits()))
        .with_caller(callers[random.next_below(callers.len())])
        .with_timeout(TIMEOUT_MILLIS)
        .with_body(body);
    if random.next_below(100) < KEYED_PERCENT {
        form = form.with_key(new_key(random));
    }
    GeneratedRequest { form, digest }
}

async fn send_until_final(
    client: &LoadClient,
    entries: &[SocketAddr],
    first_entry: SocketAddr,
    request: GeneratedRequest,
    totals: &Mutex<RequestTotals>,
) {
    let started_at = Instant::now();
    let mut entry = first_entry;
    lock(totals).sent += 1;
    for attempt in 0..ATTEMPT_LIMIT {
        let Ok(response) = client.send(request.form.build(entry)).await else {
            // The entry is unreachable; a load balancer would try another one.
            entry = entries[(attempt as usize + 1) % entries.len()];
            continue;
        };
        let outcome = response
            .header("turmeric-outcome")
            .unwrap_or("none")
            .to_owned();
        if outcome == "answered" {
            record_answer(totals, &request, &response, started_at.elapsed());
            return;
        }
        record_refusal(totals, &response);
        if outcome == "unknown" && response.header("turmeric-attempt").is_none() {
            lock(totals).unknown += 1;
            return;
        }
        if attempt + 1 == ATTEMPT_LIMIT {
            record_given_up(totals, &request, &outcome);
            return;
        }
        tokio::time::sleep(retry_after(&response)).await;
    }
    lock(totals).lost += 1;
}

fn retry_after(response: &HttpAnswer) -> Duration {
    let millis = response
        .header("turmeric-retry-after-ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(100);
    Duration::from_millis(millis)
}

fn lock(totals: &Mutex<RequestTotals>) -> std::sync::MutexGuard<'_, RequestTotals> {
    totals.lock().unwrap_or_else(PoisonError::into_inner)
}

fn record_answer(
    totals: &Mutex<RequestTotals>,
    request: &GeneratedRequest,
    response: &HttpAnswer,
    time: Duration,
) {
    let expected = format!(
        "{} {} {:08x}",
        request.form.tag,
        request.form.body.len(),
        request.digest
    );
    let mut totals = lock(totals);
    totals.answered += 1;
    totals.times.push(time);
    if response.body.as_ref() != expected.as_bytes() {
        totals.wrong_answers += 1;
    }
    totals.answered_keys.extend(request.form.key.clone());
}

fn record_refusal(totals: &Mutex<RequestTotals>, response: &HttpAnswer) {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let code = body["code"].as_str().unwrap_or("none");
    let line = format!("{} {code}", response.status.as_u16());
    *lock(totals).refused.entry(line).or_default() += 1;
}

fn record_given_up(totals: &Mutex<RequestTotals>, request: &GeneratedRequest, outcome: &str) {
    let mut totals = lock(totals);
    if outcome == "not-run" {
        totals.not_run_keys.extend(request.form.key.clone());
    } else {
        totals.unknown += 1;
    }
}
