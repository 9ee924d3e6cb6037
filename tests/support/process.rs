//! Routers as processes, started from settings files on ports that the system chooses.

#![allow(dead_code, reason = "each test that includes this module uses a part of it")]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

use cranberrytally::standin::outside::settings;

/// A router process; dropping it kills it.
pub struct Router {
    pub addr: SocketAddr,
    pub peer: SocketAddr,
    file: PathBuf,
    child: Child,
}

impl Router {
    /// Starts a router and waits until it has told its addresses.
    pub fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = dir.join(format!("{name}-{}-{:x}.yaml", std::process::id(), platform.port()));
        // A router that leaves serves for as long as callers keep entry answers; tests need not wait half a minute.
        let text = settings(name, any, any, platform, seeds) + "drain: { answer_keep_ms: 1000 }\n";
        fs::write(&file, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cranberrytally"))
            .args(["serve", "-c"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let mut addrs = line.split_whitespace().filter_map(|word| word.parse().ok());
        let addr = addrs.next().unwrap_or_else(|| panic!("{name} told no address: {line:?}"));
        let peer = addrs.next().unwrap_or_else(|| panic!("{name} told no peer address: {line:?}"));
        Self { addr, peer, file, child }
    }

    /// Process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Kills the process at once, as when its host fails.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[allow(dead_code, reason = "not every test that uses routers uses these")]
impl Router {
    /// Path of the settings file.
    pub fn settings(&self) -> &str {
        self.file.to_str().unwrap()
    }

    /// Waits until the process ends by itself; returns its exit code, `None` when a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.file);
    }
}

/// Runs an operator's command to its end.
pub fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap()
}
