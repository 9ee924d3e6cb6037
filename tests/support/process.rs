//! Router processes, started from settings files on free ports.

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

/// Router process; dropping it kills the process.
pub struct Router {
    pub addr: SocketAddr,
    pub peer: SocketAddr,
    file: PathBuf,
    child: Child,
}

impl Router {
    /// Starts a router and waits until it has printed its addresses.
    pub fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = dir.join(format!("{name}-{}-{:x}.yaml", std::process::id(), platform.port()));
        // A router that shuts down serves until the cached entry responses have expired. The default of half a minute
        // would slow the tests down.
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
        let addr = addrs.next().unwrap_or_else(|| panic!("{name} printed no address: {line:?}"));
        let peer = addrs.next().unwrap_or_else(|| panic!("{name} printed no peer address: {line:?}"));
        Self { addr, peer, file, child }
    }

    /// Process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Kills the process immediately, like a failure of its host.
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

    /// Waits for the process to exit; returns its exit code, or `None` if a signal ended it.
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

/// Runs an operator command and returns its output.
pub fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap()
}
