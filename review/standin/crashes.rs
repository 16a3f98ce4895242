//! Executors crash one after the other, in a fixed order, under submissions that do not fail.

use std::time::{Duration, Instant};

use crate::fleet::{CONFIG, Fleet, HOST, PREFIX, Plan, Record, send};
use crate::http::{Json, call};

const EXECUTORS: usize = 11;
const EXECUTOR_CPU: u64 = 64_000;
const SUBMISSIONS: usize = 10;

/// Work of each task, without checkpoints, in milliseconds.
const WORK: u64 = 15_000;

/// Time between two crashes, and time for which an executor is down.
const GAP: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(1_000);

/// Time for which executors crash, and time after it until all that can be done is done.
const CRASHES: Duration = Duration::from_secs(50);
const REST: Duration = Duration::from_secs(25);

pub fn play(plan: &Plan) -> i32 {
    let record = Record::new(&plan.record);
    let fleet = Fleet::start(plan, &record, CONFIG, (4, EXECUTORS), EXECUTOR_CPU);
    if !fleet.wait_until_ready() {
        record.write("the entries did not get ready");
        return 2;
    }
    let body = format!(
        "{{\"task_spec\":\"{WORK} 1 6000\",\"steps\":[{{\"count\":2,\"cpu\":6000,\
         \"requested_memory_mb\":1000,\"estimated_ms\":{WORK}}}]}}"
    );
    let path = |number: usize| format!("{PREFIX}5c0e7a21d94b{number:04x}");
    let accepted: Vec<usize> = (0..SUBMISSIONS)
        .filter(|number| send(&fleet, *number, "POST", &path(*number), &body, &record) == 200)
        .collect();
    record.write(&format!("{} of {SUBMISSIONS} submissions accepted", accepted.len()));
    let begun = Instant::now();
    let mut crashes = 0;
    while begun.elapsed() < CRASHES {
        std::thread::sleep(GAP);
        if plan.has_trouble {
            let executor = &fleet.executors[crashes % EXECUTORS];
            record.write(&format!("{} crashes", executor.id));
            executor.crash(DOWN);
            crashes += 1;
        }
    }
    std::thread::sleep(REST);
    let mut broken = 0;
    for number in &accepted {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let timeout = Duration::from_secs(3);
        let answer = call(entry.callers, "GET", &path(*number), HOST, "", timeout);
        let state = answer.and_then(|(_, text)| Json::parse(text.as_bytes()));
        let state = state.map_or(String::new(), |json| json.get("state").text().to_owned());
        // No executor of this case ends a run as `failed`.
        let is_broken = state == "failed";
        broken += usize::from(is_broken);
        let verdict = if is_broken { "LOST: " } else { "" };
        record.write(&format!("{verdict}GET {} gives {state:?}", path(*number)));
    }
    record.write(&format!(
        "{crashes} crashes, no run ended `failed`; {broken} of {} submissions shown as failed",
        accepted.len()
    ));
    i32::from(broken > 0)
}
