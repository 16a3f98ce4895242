//! Requests at a steady rate, as photo checks come in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use turmeric_types::SplitMixRandom;

use super::MixedPlan;
use crate::percentile::TimeSample;
use turmeric_testbed::{HttpAnswer, LoadClient, RequestForm, digest_of, new_key};

/// Time within which a caller needs its answer, in milliseconds.
const TIMEOUT_MILLIS: u64 = 2000;

/// Tries of one request by its caller.
const TRY_LIMIT: u32 = 4;

/// Share of requests that must run at most once, in percent.
const KEYED_PERCENT: usize = 50;

/// Lengths of bodies and how often each comes, in permille.
const BODY_LENGTHS: [(usize, usize); 4] = [
    (700, 40 << 10),
    (250, 200 << 10),
    (45, 1 << 20),
    (5, 8 << 20),
];

/// What became of all requests.
#[derive(Default)]
pub(crate) struct RequestTotals {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) unknown: u64,
    pub(crate) lost: u64,
    /// Refusals by their code, each try counted.
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) times: TimeSample,
    /// Answers that belong to another request, or are not whole.
    pub(crate) wrong_answers: u64,
    /// Keys whose last word was "not run".
    pub(crate) not_run_keys: Vec<String>,
    /// Keys whose last word was an answer.
    pub(crate) answered_keys: Vec<String>,
}

/// A request and the digest of its body.
struct RequestShape {
    form: RequestForm,
    digest: u32,
}

/// Bodies that are made once and shared, each with its digest.
struct BodyPool {
    bodies: Vec<(Bytes, u32)>,
}

impl BodyPool {
    fn new() -> Self {
        let bodies = BODY_LENGTHS
            .iter()
            .map(|(_, length)| {
                let bytes: Vec<u8> = (0..*length).map(|place| (place % 251) as u8).collect();
                let digest = digest_of(&bytes);
                (Bytes::from(bytes), digest)
            })
            .collect();
        Self { bodies }
    }

    fn pick(&self, random: &mut SplitMixRandom) -> (Bytes, u32) {
        let mut draw = random.next_below(1000);
        for (place, (permille, _)) in BODY_LENGTHS.iter().enumerate() {
            if draw < *permille {
                return self.bodies[place].clone();
            }
            draw -= permille;
        }
        self.bodies[0].clone()
    }
}

/// Sends requests at the plan's rate until its time is over.
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
        let shape = next_shape(&pool, &mut random);
        let entry = plan.entries[random.next_below(plan.entries.len())];
        let totals = totals.clone();
        let client = client.clone();
        let entries = plan.entries.clone();
        sending.spawn(async move {
            send_until_final(&client, &entries, entry, shape, &totals).await;
        });
    }
    while sending.join_next().await.is_some() {}
    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *totals)
}

fn next_shape(pool: &BodyPool, random: &mut SplitMixRandom) -> RequestShape {
    let (body, digest) = pool.pick(random);
    let callers = ["boutique", "pawnbroker", "partner-app"];
    let mut form = RequestForm::new(format!("{:016x}", random.next_bits()))
        .with_caller(callers[random.next_below(callers.len())])
        .with_timeout(TIMEOUT_MILLIS)
        .with_body(body);
    if random.next_below(100) < KEYED_PERCENT {
        form = form.with_key(new_key(random));
    }
    RequestShape { form, digest }
}

async fn send_until_final(
    client: &LoadClient,
    entries: &[SocketAddr],
    first_entry: SocketAddr,
    shape: RequestShape,
    totals: &Mutex<RequestTotals>,
) {
    let started_at = Instant::now();
    let mut entry = first_entry;
    lock(totals).sent += 1;
    for turn in 0..TRY_LIMIT {
        let Ok(answer) = client.send(shape.form.build(entry)).await else {
            // The entry is gone; the balancer would try another.
            entry = entries[(turn as usize + 1) % entries.len()];
            continue;
        };
        let outcome = answer
            .header("turmeric-outcome")
            .unwrap_or("none")
            .to_owned();
        if outcome == "answered" {
            note_answer(totals, &shape, &answer, started_at.elapsed());
            return;
        }
        note_refusal(totals, &answer);
        if outcome == "unknown" && answer.header("turmeric-attempt").is_none() {
            lock(totals).unknown += 1;
            return;
        }
        if turn + 1 == TRY_LIMIT {
            note_given_up(totals, &shape, &outcome);
            return;
        }
        tokio::time::sleep(retry_after(&answer)).await;
    }
    lock(totals).lost += 1;
}

fn retry_after(answer: &HttpAnswer) -> Duration {
    let millis = answer
        .header("turmeric-retry-after-ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(100);
    Duration::from_millis(millis)
}

fn lock(totals: &Mutex<RequestTotals>) -> std::sync::MutexGuard<'_, RequestTotals> {
    totals.lock().unwrap_or_else(PoisonError::into_inner)
}

fn note_answer(
    totals: &Mutex<RequestTotals>,
    shape: &RequestShape,
    answer: &HttpAnswer,
    time: Duration,
) {
    let expected = format!(
        "{} {} {:08x}",
        shape.form.tag,
        shape.form.body.len(),
        shape.digest
    );
    let mut totals = lock(totals);
    totals.answered += 1;
    totals.times.push(time);
    if answer.body.as_ref() != expected.as_bytes() {
        totals.wrong_answers += 1;
    }
    totals.answered_keys.extend(shape.form.key.clone());
}

fn note_refusal(totals: &Mutex<RequestTotals>, answer: &HttpAnswer) {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let code = body["code"].as_str().unwrap_or("none");
    let line = format!("{} {code}", answer.status.as_u16());
    *lock(totals).refused.entry(line).or_default() += 1;
}

fn note_given_up(totals: &Mutex<RequestTotals>, shape: &RequestShape, outcome: &str) {
    let mut totals = lock(totals);
    if outcome == "not-run" {
        totals.not_run_keys.extend(shape.form.key.clone());
    } else {
        totals.unknown += 1;
    }
}
