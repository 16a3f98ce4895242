//! The machine of an agent freezes while its executor leaves.

use std::time::Duration;

use crate::fleet::{CONFIG, Fleet, PREFIX, Plan, Record, send};

const EXECUTORS: usize = 11;
const EXECUTOR_CPU: u64 = 64_000;
const SUBMISSIONS: usize = 6;

/// Time from the ack of `draining` to the end: `drain_ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time for which the agent's machine stands still, twice, and time between the two.
const FREEZE: Duration = Duration::from_millis(1_250);
const PAUSE: Duration = Duration::from_millis(900);

/// Time from the freeze until the executor sends its `DELETE`.
const LEAD: Duration = Duration::from_millis(100);

/// An executor without an ack ends this long after its `DELETE`.
const LINGER: Duration = Duration::from_millis(5_000);

/// Number of executors that leave, one after the other.
const ROUNDS: usize = 3;

pub fn play(plan: &Plan) -> i32 {
    let record = Record::new(&plan.record);
    let fleet = Fleet::start(plan, &record, CONFIG, (4, EXECUTORS), EXECUTOR_CPU);
    if !fleet.wait_until_ready() {
        record.write("the entries did not get ready");
        return 2;
    }
    for round in 0..ROUNDS {
        let body = "{\"task_spec\":\"20000 1 1000\",\"steps\":[{\"count\":6,\"cpu\":1000,\
                    \"requested_memory_mb\":100,\"estimated_ms\":20000}]}";
        for number in 0..SUBMISSIONS {
            let path = format!("{PREFIX}5c0e7a21d9{round:02x}{number:04x}");
            send(&fleet, number, "POST", &path, body, &record);
        }
        std::thread::sleep(Duration::from_secs(1));
        let busiest = (0..EXECUTORS).max_by_key(|number| fleet.executors[*number].used());
        let Some(leaving) = busiest else { return 2 };
        let executor = &fleet.executors[leaving];
        let is_acked = executor.drain();
        record.write(&format!(
            "{} says draining, acknowledged: {is_acked}",
            executor.id
        ));
        std::thread::sleep(DRAIN);
        if plan.has_trouble {
            record.write(&format!("the agent of {} freezes", executor.id));
            if !fleet.signal_agent(leaving, "-STOP") {
                return 2;
            }
            std::thread::sleep(LEAD);
        }
        let is_acked = executor.sign_off();
        record.write(&format!(
            "{} sends DELETE, acknowledged: {is_acked}",
            executor.id
        ));
        if plan.has_trouble {
            std::thread::sleep(FREEZE.saturating_sub(LEAD + Duration::from_secs(1)));
            if !fleet.signal_agent(leaving, "-CONT") {
                return 2;
            }
            record.write(&format!("the agent of {} wakes", executor.id));
            std::thread::sleep(PAUSE);
            record.write(&format!("the agent of {} freezes again", executor.id));
            if !fleet.signal_agent(leaving, "-STOP") {
                return 2;
            }
            std::thread::sleep(FREEZE);
            if !fleet.signal_agent(leaving, "-CONT") {
                return 2;
            }
            record.write(&format!("the agent of {} wakes", executor.id));
        }
        if !is_acked {
            std::thread::sleep(LINGER.saturating_sub(2 * FREEZE + PAUSE - LEAD));
        }
        executor.lose();
        record.write(&format!("{} has ended", executor.id));
        std::thread::sleep(Duration::from_secs(2));
    }
    let twice = record.twice();
    record.write(&format!("{twice} starts of tasks that ran elsewhere"));
    i32::from(twice > 0)
}
