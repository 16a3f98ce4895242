//! Stand-ins and cases of the second independent review.
//!
//! `review-standin-2 CASE FOLDER ROOT` plays a case; `review-standin-2 executor ...` is an executor
//! that a case starts.

mod cases;
mod deploy;
mod executor;
mod net;
mod store;

use std::path::PathBuf;

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let text = |index: usize| arguments.get(index).cloned().unwrap_or_default();
    let number = |index: usize| text(index).parse::<u64>().unwrap_or(0);
    if text(1) == "executor" {
        let settings = executor::Settings {
            identifier: text(2),
            address: text(3).parse().expect("an address"),
            registry: text(4).parse().expect("an address"),
            zone: text(5),
            rack: text(6),
            service: text(7),
            cpu: number(8),
            max_hold_ms: number(9),
            save_ms: number(10),
            restore_ms: number(11),
            log: text(12),
        };
        return executor::run(settings).await;
    }
    let (case, root) = (PathBuf::from(text(2)), PathBuf::from(text(3)));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match text(1).as_str() {
        "large-progress" => cases::large_progress::play(&case, &root, has_trouble).await,
        "many-images" => cases::many_images::play(&case, &root, has_trouble).await,
        "forgotten" => cases::forgotten::play(&case, &root, has_trouble).await,
        "scheduled" => cases::scheduled::play(&case, &root, has_trouble).await,
        "many-ends" => cases::many_ends::play(&case, &root, has_trouble).await,
        other => {
            eprintln!("no such case: {other}");
            std::process::exit(2);
        }
    }
}
