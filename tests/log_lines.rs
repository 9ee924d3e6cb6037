//! A stalled reader of the log does not affect requests.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use cranberrytally::logs::lines;
use wire::{Host, ScriptStep, Server, ok, request, status};

/// Output that blocks all writes until `release` is called.
#[derive(Clone, Default)]
struct BlockedOutput(Arc<(Mutex<(bool, String)>, Condvar)>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (state, released) = &*self.0;
        let mut state = released.wait_while(state.lock().unwrap(), |s| !s.0).unwrap();
        state.1.push_str(&String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BlockedOutput {
    fn release(&self) {
        self.0.0.lock().unwrap().0 = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        self.0.0.lock().unwrap().1.clone()
    }
}

/// The reader of the output stalls, so the queue of lines fills up. Requests must be served as before. Lines that do
/// not fit are dropped, and once the reader resumes a line reports their number.
#[tokio::test]
async fn a_stopped_reader_delays_no_request() {
    let output = BlockedOutput::default();
    lines::start(output.clone(), u32::MAX).unwrap();
    let server = Server::start("i-1", [ScriptStep::Write(ok("fine"))]).await;
    let host = Host::with_servers(&[&server]).await;

    for _ in 0..1_500 {
        assert_eq!(status(&host.call(&request("/unsafe/x", "")).await), 200);
    }
    output.release();

    wire::wait_until("the count of dropped lines", || output.text().contains("\"lines_dropped\"")).await;
}
