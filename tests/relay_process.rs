//! Tests the relaying host as a process: signals during its startup.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Lines, Write},
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Settings of a host without peers; the system chooses its ports.
fn settings() -> String {
    let ip = Ipv4Addr::new(127, 100 + (std::process::id() % 100) as u8, 200, 1);
    let any_port = format!("{ip}:0");
    json!({ "node": "host-1", "zone": "a", "internalPortRange": [0, 0], "seeds": [],
        "listen": { "front": any_port, "ready": any_port },
        "bounds": { "graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56 },
        "platformConfig": { "address": "127.0.0.1:1" } })
    .to_string()
}

/// Creates a named pipe, so that the process waits for its settings until the test writes them.
fn make_pipe(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

/// Opens the pipe for writing, which returns once the process opens it for reading.
fn open_for_writing(pipe: &Path) -> File {
    File::options().write(true).open(pipe).unwrap()
}

fn spawn_relay(settings: &Path) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
        .arg("relay")
        .env("CRANBERRYTALLY_NODE_FILE", settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    (child, lines)
}

/// The settings of a host change right after it was started, and the reload signal arrives before it has read them. The
/// process must install its signal handler first; otherwise the signal ends it, and callers meet no host until it is
/// started again.
#[test]
fn a_signal_during_startup_does_not_end_the_process() {
    let path = make_pipe("settings");
    let (mut child, mut lines) = spawn_relay(&path);

    let mut first = open_for_writing(&path);
    kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
    // The process may have ended; that is checked below.
    let _ = first.write_all(settings().as_bytes());
    drop(first);
    let mut logs_event = |event: &str| lines.by_ref().map_while(Result::ok).any(|l| l.contains(event));
    let started = logs_event("\"start\"");
    let reloaded = started && {
        let _ = open_for_writing(&path).write_all(settings().as_bytes());
        logs_event("\"reload\"")
    };

    child.kill().unwrap();
    child.wait().unwrap();
    fs::remove_file(&path).unwrap();
    assert!(started, "the process ended instead");
    assert!(reloaded, "the signal was not answered");
}
