//! A side machine is lost for good while small submissions come, and requesters ask how many wait.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::fleet::{CONFIG, Fleet, HOST, PREFIX, Plan, Record, send};
use crate::http::{Json, call};

const EXECUTORS: usize = 6;
const EXECUTOR_CPU: u64 = 64_000;

/// Time between two submissions.
const GAP: Duration = Duration::from_millis(100);

/// Time from the first submission to the loss, and to the end of the traffic.
const LOSS: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(16);

/// `visible_ms` and 2 s more.
const VISIBLE: Duration = Duration::from_secs(5);

/// Fewest waiting submissions for which an answer is judged.
const LEAST: usize = 4;

fn body(work: u64, cpu: u64) -> String {
    format!(
        "{{\"task_spec\":\"{work} 1 {cpu}\",\"steps\":[{{\"count\":1,\"cpu\":{cpu},\
         \"requested_memory_mb\":100,\"estimated_ms\":{work}}}]}}"
    )
}

pub fn play(plan: &Plan) -> i32 {
    let record = Record::new(&plan.record);
    let mut fleet = Fleet::start(plan, &record, CONFIG, (4, EXECUTORS), EXECUTOR_CPU);
    if !fleet.wait_until_ready() {
        record.write("the entries did not get ready");
        return 2;
    }
    // A task that runs throughout; the machine that has it is the one that is lost.
    let first = "5c0e7a21d94bffff";
    send(&fleet, 0, "POST", &format!("{PREFIX}{first}"), &body(60_000, 1_000), &record);
    std::thread::sleep(Duration::from_secs(1));
    let task = format!("{first}.0.0.0");
    let holds = |number: &usize| fleet.executors[*number].running().contains(&task);
    let Some(lost) = (0..EXECUTORS).find(holds) else {
        record.write("the first task did not start");
        return 2;
    };
    let accepted: Mutex<Vec<(String, Instant)>> = Mutex::new(Vec::new());
    let begun = Instant::now();
    let (mut number, mut is_lost, mut broken) = (0, false, 0);
    while begun.elapsed() < LENGTH {
        if plan.has_trouble && !is_lost && begun.elapsed() >= LOSS {
            let name = fleet.lose_machine(lost);
            record.write(&format!("{name} and its executor are lost for good"));
            is_lost = true;
        }
        let id = format!("5c0e7a21d94b{number:04x}");
        let status = send(&fleet, number, "POST", &format!("{PREFIX}{id}"), &body(300, 200), &record);
        if status == 200 {
            accepted.lock().expect("lock").push((id, Instant::now()));
        }
        broken += usize::from(is_wrong(&fleet, &record, &accepted.lock().expect("lock"), number));
        number += 1;
        std::thread::sleep((GAP * number as u32).saturating_sub(begun.elapsed()));
    }
    drop(fleet);
    record.write(&format!("{broken} answers gave under half of the waiting submissions"));
    i32::from(broken > 0)
}

/// Asks an entry for the waiting submissions, and returns whether it gives under half of those
/// that were accepted over 5 s before and have not begun.
fn is_wrong(
    fleet: &Fleet,
    record: &Record,
    accepted: &[(String, Instant)],
    number: usize,
) -> bool {
    let entry = &fleet.entries[number % fleet.entries.len()];
    let asked = Instant::now();
    let timeout = Duration::from_secs(3);
    let Some((200, text)) = call(entry.callers, "GET", PREFIX, HOST, "", timeout) else {
        return false;
    };
    let shown = Json::parse(text.as_bytes()).map_or(0, |json| json.get("waiting").num()) as usize;
    // Those that begin only now count in favour of the answer.
    let is_waiting = |(id, at): &&(String, Instant)| {
        asked.duration_since(*at) > VISIBLE && !record.has_begun(&format!("{id}.0.0.0"))
    };
    let waiting = accepted.iter().filter(is_waiting).count();
    let is_wrong = waiting >= LEAST && shown * 2 < waiting;
    if waiting > 0 {
        let verdict = if is_wrong { "MIXED: " } else { "" };
        record.write(&format!(
            "{verdict}GET {PREFIX} at {}: waiting {shown}; {waiting} accepted over 5 s before have not begun",
            entry.callers
        ));
    }
    is_wrong
}
