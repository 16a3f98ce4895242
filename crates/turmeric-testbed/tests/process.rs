//! Start, settings and bad peers of single processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use turmeric_testbed::{AgentPlan, BedPlan, RequestForm, TestBed, TestProcess};

fn scratch() -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("turmeric-process-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("the temporary directory can be written");
    path
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn a_taken_port_is_said_with_its_exit_code() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let arguments = words(&format!(
        "entry --id e --listen {address} --control 127.0.0.1:1 --platform 127.0.0.1:1 --region r --zone z"
    ));
    let mut process = TestProcess::start("turmericd", &scratch(), "taken", &arguments);
    let status = process.wait(Duration::from_secs(10)).unwrap();
    assert_eq!(status.code(), Some(3));
    assert!(process.log_text().contains(&address.to_string()));
}

#[test]
fn all_mistakes_in_the_settings_are_reported_together() {
    let arguments =
        words("agent --worker w/1 --listen localhost:80 --entries none --task-lease 1s --check");
    let mut process = TestProcess::start("turmericd", &scratch(), "mistakes", &arguments);
    let status = process.wait(Duration::from_secs(10)).unwrap();
    assert_eq!(status.code(), Some(2));
    let log = process.log_text();
    for place in [
        "--worker (TURMERIC_WORKER)",
        "--listen (TURMERIC_LISTEN)",
        "--entries (TURMERIC_ENTRIES)",
        "--task-lease (TURMERIC_TASK_LEASE)",
        "--zone (TURMERIC_ZONE): no value",
        "--worker-address (TURMERIC_WORKER_ADDRESS)",
    ] {
        assert!(log.contains(place), "{place} is missing in {log}");
    }
}

#[test]
fn check_stops_after_good_settings() {
    let arguments = words(
        "entry --id e --listen 127.0.0.1:1 --control 127.0.0.1:1 --platform 127.0.0.1:1 --region r --zone z --check",
    );
    let mut process = TestProcess::start("turmericd", &scratch(), "check", &arguments);
    let status = process.wait(Duration::from_secs(10)).unwrap();
    assert!(status.success());
}

#[tokio::test]
async fn garbage_on_the_control_port_ends_that_connection_only() {
    let agents = vec![AgentPlan::new("morava-a")];
    let bed = TestBed::start(BedPlan::new(1, agents).without_homes()).await;
    let control = bed.control_address(0);
    for garbage in [
        b"not the protocol at all".to_vec(),
        // The greeting of the transport, then a message that is no poll.
        [
            &b"\0SP\0\0\x30\0\0"[..],
            &20_u64.to_be_bytes(),
            &0x8000_0001_u32.to_be_bytes(),
            &[0xff; 16],
        ]
        .concat(),
        // A message longer than the limit.
        [&b"\0SP\0\0\x30\0\0"[..], &u64::MAX.to_be_bytes()].concat(),
        // A message cut short.
        [&b"\0SP\0\0\x30\0\0"[..], &500_u64.to_be_bytes(), b"cut"].concat(),
    ] {
        let mut stream = std::net::TcpStream::connect(control).unwrap();
        stream.write_all(&garbage).unwrap();
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(bed.entries[0].log_text().contains("is closed"));
    let answer = bed
        .send(bed.entry_addresses[0], &RequestForm::new("after"))
        .await
        .unwrap();
    assert!(answer.status.is_success());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let agents = bed.get(bed.entry_addresses[0], "/v1/agents").await.unwrap();
    assert_eq!(agents[0]["heard"], true);
}
