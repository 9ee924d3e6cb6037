//! A reader of the log that stops reading changes no answer.

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

/// Output whose reader does not read until it is let go.
#[derive(Clone, Default)]
struct Stuck(Arc<(Mutex<(bool, String)>, Condvar)>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (state, woken) = &*self.0;
        let mut state = woken.wait_while(state.lock().unwrap(), |s| !s.0).unwrap();
        state.1.push_str(&String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stuck {
    fn release(&self) {
        self.0.0.lock().unwrap().0 = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        self.0.0.lock().unwrap().1.clone()
    }
}

/// Nobody reads the output any more, so its queue fills up. Requests go on as before; what does not fit is dropped, and
/// once somebody reads again a line tells how much.
#[tokio::test]
async fn a_stopped_reader_delays_no_request() {
    let output = Stuck::default();
    lines::start(output.clone(), u32::MAX).unwrap();
    let server = Server::start("i-1", [ScriptStep::Write(ok("fine"))]).await;
    let host = Host::with_servers(&[&server]).await;

    for _ in 0..1_500 {
        assert_eq!(status(&host.call(&request("/unsafe/x", "")).await), 200);
    }
    output.release();

    wire::wait_until("the count of dropped lines", || output.text().contains("\"lines_dropped\"")).await;
}
