//! The relaying host as a process: signals while it starts.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Lines, Write},
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Settings of a host that knows no other; its ports are chosen by the system.
fn settings() -> String {
    let ip = Ipv4Addr::new(127, 100 + (std::process::id() % 100) as u8, 200, 1);
    let any = format!("{ip}:0");
    json!({ "node": "host-1", "zone": "a", "internalPortRange": [0, 0], "seeds": [],
        "listen": { "front": any, "ready": any },
        "bounds": { "graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56 },
        "platformConfig": { "address": "127.0.0.1:1" } })
    .to_string()
}

/// A named pipe, so that the process waits for its settings until the test gives them.
fn pipe(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

/// Opens the pipe, which returns once the process reads it.
fn reader_waits(pipe: &Path) -> File {
    File::options().write(true).open(pipe).unwrap()
}

fn start(settings: &Path) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
        .arg("relay")
        .env("CRANBERRYTALLY_NODE_FILE", settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    (child, lines)
}

/// The settings of a host change just after it was started, and it is told so before it has read them. Until the process
/// listened for the signal first, it ended there, and its callers met no host until it was started once more.
#[test]
fn a_signal_while_it_starts_does_not_end_it() {
    let path = pipe("settings");
    let (mut child, mut lines) = start(&path);

    let mut first = reader_waits(&path);
    kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
    // The process may be gone; that shows below.
    let _ = first.write_all(settings().as_bytes());
    drop(first);
    let mut tells = |event: &str| lines.by_ref().map_while(Result::ok).any(|l| l.contains(event));
    let started = tells("\"start\"");
    let reloaded = started && {
        let _ = reader_waits(&path).write_all(settings().as_bytes());
        tells("\"reload\"")
    };

    child.kill().unwrap();
    child.wait().unwrap();
    fs::remove_file(&path).unwrap();
    assert!(started, "the process ended instead");
    assert!(reloaded, "the signal was not answered");
}
