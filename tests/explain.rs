//! Log lines alone explain how a request ended: refusals, broken streams, unknown outcomes and callers that left.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use cranberrytally::logs::{explain::explain, lines};
use wire::{Host, ScriptStep, Server, answer, chunk, event, not_run, request, status, stream_head};

/// Log output shared with the test.
#[derive(Clone, Default)]
struct LogOutput(Arc<Mutex<Vec<u8>>>);

impl Write for LogOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogOutput {
    fn lines(&self) -> Vec<String> {
        String::from_utf8_lossy(&self.0.lock().unwrap()).lines().map(str::to_owned).collect()
    }
}

fn named(req: String, id: &str) -> String {
    req.replace("Attempt-Id: r1", &format!("Attempt-Id: {id}"))
}

/// One request is refused, one stream breaks, one write has an unknown outcome. For each, the host's log lines must
/// give the servers tried, the reason for each choice and the cause of the end.
#[tokio::test]
async fn the_lines_of_a_host_explain_three_kinds_of_failure() {
    let output = LogOutput::default();
    lines::start(output.clone(), 1 << 20).unwrap();
    lines::set_host("host-1");
    let full = Server::start("i-full", [ScriptStep::Write(not_run())]).await;
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    let cut = Server::start("i-cut", [ScriptStep::WriteAndReset(begun)]).await;
    let lost = Server::start("i-lost", [ScriptStep::WriteAndReset(String::new())]).await;
    let error = ScriptStep::Write(answer("500 Internal Server Error", ""));
    let (sick, sicker) = (Server::start("i-5", [error.clone()]).await, Server::start("i-6", [error]).await);
    let answers = [
        Host::with_servers(&[&full]).await.call(&named(request("/unsafe/x", ""), "refused-1")).await,
        Host::with_servers(&[&cut]).await.call(&named(request("/once/x", ""), "cut-1")).await,
        Host::with_servers(&[&lost]).await.call(&named(request("/unsafe/x", ""), "unknown-1")).await,
        Host::with_servers(&[&lost]).await.call(&named(request("/nowhere/x", ""), "path-1")).await,
        Host::with_servers(&[&sick, &sicker]).await.call(&named(request("/safe/x", ""), "error-1")).await,
    ];
    let is_logged = |id: &str| output.lines().iter().any(|l| l.contains(id));
    wire::wait_until("the lines", || {
        ["refused-1", "cut-1", "unknown-1", "path-1", "error-1"].into_iter().all(is_logged)
    })
    .await;
    wire::wait_until("the last lines", || output.lines().iter().any(|l| l.contains("\"status\":500"))).await;

    let story = |id| explain(id, output.lines()).unwrap();

    assert_eq!(answers.map(|a| status(&a)), [503, 200, 502, 404, 500]);
    let refused = story("refused-1");
    assert!(refused.contains("backend=i-full") && refused.contains("failure=refused"), "{refused}");
    assert!(refused.contains("end: given up as engine_refused, not-run"), "{refused}");
    let cut = story("cut-1");
    assert!(
        cut.contains("end: its stream was cut: broken; its last failed attempt: broken at i-cut"),
        "{cut}"
    );
    let unknown = story("unknown-1");
    assert!(unknown.contains("end: given up as engine_failed, unknown"), "{unknown}");
    assert!(unknown.contains("then not_repeatable"), "{unknown}");
    assert!(story("path-1").contains("end: refused as not_found before any attempt"));
    let error = story("error-1");
    assert!(error.contains("status=500") && error.contains("attempts=2"), "{error}");
    assert!(unknown.contains("change=seen"), "state changes of the server are included: {unknown}");
    assert_eq!(explain("nobody", output.lines()), None);
}

fn lines_of(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}

/// A caller disconnects after 2.4 s. The explanation must name the server that it waited for and for how long.
#[test]
fn a_caller_who_left_is_explained_by_what_it_waited_for() {
    let silent = r#"{"t":1000,"event":"sent","host":"h1","request":"r1","backend":"i-1","why":"home"}
{"t":3400,"event":"caller_left","host":"h1","request":"r1","attempts":1,"after_ms":2400}"#;
    let begun = r#"{"t":1000,"event":"sent","host":"h1","request":"r1","backend":"i-1","why":"home"}
{"t":1100,"event":"first_event","host":"h1","request":"r1","after_ms":100}
{"t":3400,"event":"caller_left","host":"h1","request":"r1","attempts":1,"after_ms":2400}"#;

    let ends = [silent, begun].map(|text| explain("r1", lines_of(text)).unwrap());

    assert!(
        ends[0].contains("end: its caller left first, when i-1 had not answered for 2400 ms"),
        "{}",
        ends[0]
    );
    assert!(
        ends[1].contains("end: its caller left first, 2300 ms after the first event of i-1"),
        "{}",
        ends[1]
    );
}

/// A host loses power during a stream, so no log line reports the end. The host's next start explains it.
#[test]
fn a_request_that_ended_with_its_host_is_explained_by_the_hosts_next_start() {
    let lines = r#"{"t":1000,"event":"sent","host":"h1","request":"r1","backend":"i-1","why":"home"}
{"t":1500,"event":"start","host":"h2"}
{"t":2900,"event":"start","host":"h1"}"#;

    let story = explain("r1", lines_of(lines)).unwrap();

    assert!(
        story.contains("end: no line tells, and h1 was started again 1900 ms after its last line"),
        "{story}"
    );
}

/// A host handles a request with an outdated configuration. The explanation must show why it had no newer one: its
/// state changes before the request, but not those of other hosts.
#[test]
fn a_request_handled_by_an_old_configuration_is_explained() {
    let lines = [
        r#"{"t":1000,"event":"configuration","host":"h-1","version":14,"from":"store","routes":5,"workspaces":2}"#,
        r#"{"t":2100,"event":"unconfirmed","host":"h-1","kind":"configuration","after_ms":1010,"contact":"follows","alone":true,"version":14}"#,
        r#"{"t":2500,"event":"confirm_failed","host":"h-1","why":"TimedOut"}"#,
        r#"{"t":2600,"event":"unconfirmed","host":"h-2","kind":"configuration","after_ms":1010,"contact":"lost","alone":false,"version":14}"#,
        r#"{"t":3000,"event":"sent","host":"h-1","request":"r1","route":"a","backend":"i-1","version":14,"confirmed_ms":1910}"#,
        r#"{"t":3020,"event":"answered","host":"h-1","request":"r1","route":"a","status":200,"after_ms":20}"#,
    ];

    let story = explain("r1", lines.map(str::to_owned)).unwrap();

    for expected in
        ["version=14 from=store", "alone=true", "confirm_failed", "confirmed_ms=1910", "status 200"]
    {
        assert!(expected.split(' ').all(|word| story.contains(word)), "{expected} is missing:\n{story}");
    }
    assert!(!story.contains("h-2"), "{story}");
}
