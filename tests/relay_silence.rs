//! Backend servers that fall silent for a moment and go on: no answer ends earlier because of it.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::time::Duration;

use cranberrytally::{
    metrics::Counter,
    relay::{
        attempts::{Attempts, Failure, StopReason},
        silence::{Awaited, Obstacle, RECHECK_INTERVAL, Silence, Verdict},
        stall::{MIN_STALL, Stall},
    },
    schema::fleet::Configuration,
};

use wire::{
    Host, ScriptStep, Server, answer, chunk, configuration, event, events, is_complete, not_run, ok, request,
    status, stream_head,
};

/// Longer than any silence after which a host looks for another server, and shorter than callers wait.
const SILENCE: Duration = Duration::from_millis(1_600);

/// Server that falls silent after the first event of its stream, then goes on to the end.
fn pausing_stream() -> ScriptStep {
    stream_with_pause(SILENCE)
}

fn stream_with_pause(pause: Duration) -> ScriptStep {
    let begun = stream_head() + &chunk(&event(1));
    ScriptStep::WriteSlowly(vec![begun, chunk(&event(2)) + "0\r\n\r\n"], pause)
}

/// Server that is silent before the first event.
fn late_stream() -> ScriptStep {
    let whole = stream_head() + &chunk(&event(1)) + &chunk(&event(2)) + "0\r\n\r\n";
    ScriptStep::WriteSlowly(vec![String::new(), whole], SILENCE)
}

/// Server that is silent before its whole answer.
fn late_answer() -> ScriptStep {
    ScriptStep::WriteSlowly(vec![String::new(), ok("late")], SILENCE)
}

/// The rest of the stream after its first event.
fn rest_of_stream() -> ScriptStep {
    ScriptStep::Write(stream_head() + &chunk(&event(2)) + "0\r\n\r\n")
}

/// Starts a host that may retry this often, with the servers in its list, the first one preferred.
async fn host_with(retry_ratio: f64, servers: &[&Server], cfg: Configuration) -> Host {
    let host = Host::with_retry_ratio(retry_ratio).await;
    host.relay.set_configuration(cfg, "test");
    host.set_servers(servers);
    host
}

/// Starts a server that goes on while the thread of the test stands still.
fn on_another_thread(id: &'static str, step: ScriptStep) -> Server {
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            tx.send(Server::start(id, [step]).await).unwrap();
            std::future::pending::<()>().await;
        });
    });
    rx.recv().unwrap()
}

/// The fixture's configuration with this number of attempts on all routes.
fn with_attempts(attempts: u32) -> Configuration {
    let mut cfg = configuration();
    cfg.routes.iter_mut().for_each(|route| route.attempts = attempts);
    cfg
}

fn cut(host: &Host) -> u64 {
    host.relay.metrics().totals(Counter::RelayStreamsCut).values().sum()
}

/// Guards against a stream that is closed at a server which goes on a moment later, because no other server can follow: the
/// service has just one, the retry budget is exhausted, or the route allows one attempt.
#[tokio::test]
async fn a_silent_server_keeps_its_stream_while_nothing_can_replace_it() {
    let cases = [("one server", 1e9, 2, 1), ("no retry budget", 0.0, 2, 2), ("one attempt", 1e9, 1, 2)];
    for (name, retry_ratio, attempts, count) in cases {
        let first = Server::start("i-1", [pausing_stream(), ScriptStep::Hang]).await;
        let second = Server::start("i-2", [rest_of_stream()]).await;
        let host = host_with(retry_ratio, &[&first, &second][..count], with_attempts(attempts)).await;

        let got = host.call(&request("/stream/x", "")).await;

        assert!(is_complete(&got), "{name}: {got}");
        assert_eq!((events(&got), cut(&host)), (vec!["e1", "e2"], 0), "{name}");
        assert_eq!((first.requests().len(), second.requests().len()), (1, 0), "{name}");
    }
}

/// Guards against a request that is given up after its server was silent for a while, though the retry budget allows no other
/// attempt and the server answers a moment later: before the first event of a stream, and before a whole answer.
#[tokio::test]
async fn a_silent_server_keeps_its_request_while_the_retry_budget_is_exhausted() {
    for (path, late, expected) in [("/stream/x", late_stream(), "e2"), ("/safe/x", late_answer(), "late")] {
        let (first, second) = (Server::start("i-1", [late]).await, Server::start("i-2", [ok_step()]).await);
        let host = host_with(0.0, &[&first, &second], configuration()).await;

        let got = host.call(&request(path, "")).await;

        assert_eq!((status(&got), is_complete(&got)), (200, true), "{path}: {got}");
        assert!(got.contains(expected), "{path}: {got}");
        assert!(second.requests().is_empty(), "{path}");
    }
}

fn ok_step() -> ScriptStep {
    ScriptStep::Write(ok("other"))
}

/// Guards against a stream that is closed because the server that was to replace a silent one failed: the silent one still has
/// the request and goes on.
#[tokio::test]
async fn a_silent_server_keeps_its_stream_when_its_replacement_fails() {
    let failures = [
        ScriptStep::Write(not_run()),
        ScriptStep::WriteAndReset(String::new()),
        ScriptStep::Write(answer("500 Internal Server Error", "")),
        ScriptStep::Hang,
    ];
    for failure in failures {
        let first = Server::start("i-1", [pausing_stream()]).await;
        let second = Server::start("i-2", [failure.clone()]).await;
        let host = host_with(1e9, &[&first, &second], configuration()).await;

        let got = host.call(&request("/stream/x", "")).await;

        assert!(is_complete(&got), "{failure:?}: {got}");
        assert_eq!((events(&got), cut(&host)), (vec!["e1", "e2"], 0), "{failure:?}");
        assert_eq!((first.requests().len(), second.requests().len()), (1, 1), "{failure:?}");
    }
}

/// Guards against an answer that is given up because the server that was to replace a silent one failed.
#[tokio::test]
async fn a_silent_server_keeps_its_request_when_its_replacement_fails() {
    for (path, late, expected) in [("/stream/x", late_stream(), "e2"), ("/safe/x", late_answer(), "late")] {
        let first = Server::start("i-1", [late]).await;
        let second = Server::start("i-2", [ScriptStep::WriteAndReset(String::new())]).await;
        let host = host_with(1e9, &[&first, &second], configuration()).await;

        let got = host.call(&request(path, "")).await;

        assert_eq!((status(&got), is_complete(&got)), (200, true), "{path}: {got}");
        assert!(got.contains(expected), "{path}: {got}");
        assert_eq!(second.requests().len(), 1, "{path}");
    }
}

/// Guards against a server that goes on working for a caller that another one serves by now, and against events that come
/// twice.
#[tokio::test]
async fn a_silent_server_is_left_once_its_replacement_has_begun() {
    let hung = [stream_head() + &chunk(&event(1)), String::new()];
    let first = Server::start("i-1", [ScriptStep::WriteSlowly(hung.into(), Duration::from_secs(60))]).await;
    let second = Server::start("i-2", [rest_of_stream()]).await;
    let host = host_with(1e9, &[&first, &second], configuration()).await;

    let got = host.call(&request("/stream/x", "")).await;

    assert!(is_complete(&got), "{got}");
    assert_eq!((events(&got), cut(&host)), (vec!["e1", "e2"], 0));
    assert_eq!(wire::header(&second.requests()[0], "last-event-id").as_deref(), Some("1"));
}

/// Guards against servers that go on working for a request that another one answers, or whose caller has left: the connections of
/// all attempts are closed.
#[tokio::test]
async fn attempts_that_are_no_longer_needed_are_closed() {
    let (hung, quick) =
        (Server::start("i-1", [ScriptStep::Hang]).await, Server::start("i-2", [ok_step()]).await);
    let answered = host_with(1e9, &[&hung, &quick], configuration()).await;
    let (first, second) =
        (Server::start("i-1", [ScriptStep::Hang]).await, Server::start("i-2", [ScriptStep::Hang]).await);
    let left = host_with(1e9, &[&first, &second], configuration()).await;
    let mut caller = left.connect().await;

    let got = answered.call(&request("/safe/x", "")).await;
    caller.send(&request("/safe/x", "")).await;
    wire::wait_until("an attempt beside the silent one", || !second.requests().is_empty()).await;
    drop(caller);

    assert_eq!(status(&got), 200, "{got}");
    wire::wait_until("the server that was replaced to be left", || hung.closed_connections() == 1).await;
    let are_left = || first.closed_connections() == 1 && second.closed_connections() == 1;
    wire::wait_until("both servers to be left", are_left).await;
}

/// Guards against a host that stands still and takes the time for silence of its servers: it would give up all of its streams at
/// once when it runs again.
#[tokio::test]
async fn a_host_that_stood_still_does_not_leave_its_servers() {
    let parts: Vec<_> = (1..=8).map(|n| chunk(&event(n))).collect();
    let parts = [vec![stream_head()], parts, vec!["0\r\n\r\n".into()]].concat();
    let first = on_another_thread("i-1", ScriptStep::WriteSlowly(parts, Duration::from_millis(100)));
    let second = Server::start("i-2", [rest_of_stream()]).await;
    let host = host_with(1e9, &[&first, &second], configuration()).await;
    let mut caller = host.connect().await;
    caller.send(&request("/stream/x", "")).await;
    wire::wait_until("the stream to begin", || !first.requests().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(250)).await;

    // The host's tasks share this thread.
    std::thread::sleep(SILENCE);
    let got = caller.answer().await;

    assert!(is_complete(&got), "{got}");
    assert_eq!(events(&got).len(), 8, "{got}");
    assert!(second.requests().is_empty());
}

/// Guards against a stream that ends with what it was routed by: its route, its workspace's key and its server's entry go while
/// it runs.
#[tokio::test]
async fn a_stream_outlives_its_route_its_key_and_its_servers_entry() {
    let first = Server::start("i-1", [stream_with_pause(SILENCE / 2)]).await;
    let second = Server::start("i-2", [ScriptStep::Hang]).await;
    let host = host_with(1e9, &[&first], configuration()).await;
    let mut caller = host.connect().await;
    caller.send(&request("/stream/x", "")).await;
    wire::wait_until("the stream to begin", || !first.requests().is_empty()).await;

    let mut without = Configuration { version: 2, workspaces: Vec::new(), ..configuration() };
    without.routes.retain(|route| route.prefix != "/stream/");
    host.relay.set_configuration(without, "test");
    host.set_servers_at(2, &[&second]);
    let got = caller.answer().await;

    assert!(is_complete(&got), "{got}");
    assert_eq!((events(&got), cut(&host)), (vec!["e1", "e2"], 0));
}

/// Guards against a stream that ends because another request finds a different server at the address of its own: what that
/// server has begun is still its own.
#[tokio::test]
async fn a_stream_outlives_the_notice_that_its_server_is_gone() {
    let moved = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-x\r\nContent-Length: 0\r\n\r\n";
    let first = Server::start("i-1", [stream_with_pause(SILENCE / 2), ScriptStep::Write(moved.into())]).await;
    let second = Server::start("i-2", [ok_step()]).await;
    let host = host_with(1e9, &[&first, &second], configuration()).await;
    let mut caller = host.connect().await;
    caller.send(&request("/stream/x", "")).await;
    wire::wait_until("the stream to begin", || !first.requests().is_empty()).await;

    let other = host.call(&request("/safe/x", "").replace("Attempt-Id: r1", "Attempt-Id: r2")).await;
    let got = caller.answer().await;

    assert_eq!((status(&other), first.requests().len()), (200, 2), "{other}");
    assert!(is_complete(&got), "{got}");
    assert_eq!((events(&got), cut(&host)), (vec!["e1", "e2"], 0));
}

/// Guards against a stream that cannot go on after a break because its route was moved to another service meanwhile.
#[tokio::test]
async fn a_stream_goes_on_at_the_service_that_began_it_after_its_route_was_moved() {
    let first = Server::reacting("i-1", |_, _| {
        ScriptStep::WriteSlowlyAndReset(vec![stream_head() + &chunk(&event(1)), String::new()], SILENCE / 4)
    });
    let (first, second) = (first.await, Server::start("i-2", [rest_of_stream()]).await);
    let host = host_with(1e9, &[&first, &second], configuration()).await;
    let mut caller = host.connect().await;
    caller.send(&request("/stream/x", "")).await;
    wire::wait_until("the stream to begin", || !first.requests().is_empty()).await;

    let mut moved = Configuration { version: 2, ..configuration() };
    moved.routes.iter_mut().for_each(|route| route.shares[0].service = "moved".into());
    host.relay.set_configuration(moved, "test");
    let got = caller.answer().await;

    assert!(is_complete(&got), "{got}");
    assert_eq!((events(&got), second.requests().len()), (vec!["e1", "e2"], 1));
}

/// Guards against a stream whose caller's connection is closed as idle while the server is silent for longer than the limit on
/// idle connections.
#[tokio::test]
async fn a_slow_stream_outlasts_the_limit_on_idle_connections() {
    let first = Server::start("i-1", [pausing_stream()]).await;
    let mut cfg = configuration();
    cfg.limits.as_mut().unwrap().idle_ms = 300;
    let host = host_with(1e9, &[&first], cfg).await;

    let got = host.call(&request("/once/x", "")).await;

    assert!(is_complete(&got), "{got}");
    assert_eq!(events(&got), ["e1", "e2"]);
}

/// Guards against an error of a server that its caller does not get: the only attempt of a route failed with it.
#[tokio::test]
async fn an_error_of_the_only_attempt_is_passed_on_whole() {
    for path in ["/safe/x", "/stream/x"] {
        let error = ScriptStep::Write(answer("500 Internal Server Error", "out of order"));
        let server = Server::start("i-1", [error]).await;
        let host = host_with(1e9, &[&server], with_attempts(1)).await;

        let got = host.call(&request(path, "")).await;

        assert_eq!((status(&got), is_complete(&got)), (500, true), "{path}: {got}");
        assert!(got.ends_with("out of order"), "{path}: {got}");
    }
}

/// Guards against lines that blame a server for time in which the host itself stood still.
#[test]
fn a_stall_counts_only_for_what_was_waited_for_during_it() {
    let at = |ms| Duration::from_millis(ms);
    let mut stall = Stall::default();

    let stood_still = [MIN_STALL - at(1), at(900)].map(|late| stall.observe(at(5_000), late));

    assert_eq!(stood_still, [false, true]);
    assert_eq!([4_900, 5_100].map(|start| stall.since(at(start))), [at(900), Duration::ZERO]);
}

/// Guards against events that come twice: a stream whose events have no numbers is begun again at another server after a break.
#[tokio::test]
async fn a_stream_without_event_numbers_does_not_go_on_elsewhere() {
    let begun = stream_head() + &chunk("data: e1\n\n");
    let whole = stream_head() + &chunk("data: e1\n\n") + &chunk("data: e2\n\n") + "0\r\n\r\n";
    let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun)]).await;
    let second = Server::start("i-2", [ScriptStep::Write(whole)]).await;
    let host = host_with(1e9, &[&first, &second], configuration()).await;

    let got = host.call(&request("/stream/x", "")).await;

    assert_eq!((is_complete(&got), events(&got)), (false, vec!["e1"]), "{got}");
    assert!(second.requests().is_empty());
}

const NO_BUDGET: Obstacle = Obstacle::Stop(StopReason::Budget);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against servers that are left too early, while a load keeps answers waiting, or so late that their callers have gone.
#[test]
fn another_attempt_begins_only_after_the_limit_of_what_is_awaited() {
    let beginning = |objective| Awaited::Beginning { objective: at(objective) };
    let cases = [(beginning(100), 400), (beginning(400), 800), (beginning(1_500), 1_300)];
    for (awaited, limit) in cases.into_iter().chain([(Awaited::NextEvent, 1_200)]) {
        let mut silence = Silence::new(awaited, at(5_000));

        let verdicts = [limit - 1, limit].map(|after| silence.check(at(5_000 + after), || Ok(())));

        assert_eq!(verdicts, [Verdict::Wait, Verdict::Replace], "{awaited:?}");
    }
}

/// Guards against a server that is given up for good because nothing could take its place at first.
#[test]
fn a_silent_server_is_held_and_looked_at_again() {
    let mut silence = Silence::new(Awaited::NextEvent, at(0));

    let held = silence.check(at(1_200), || Err(NO_BUDGET));
    let next = silence.check_at();
    let replaced = silence.check(next, || Ok(()));

    assert_eq!((held, next), (Verdict::Hold(NO_BUDGET), at(1_200) + RECHECK_INTERVAL));
    assert_eq!(replaced, Verdict::Replace);
}

/// Guards against a server that is left though it has just been heard of.
#[test]
fn a_server_that_is_heard_of_is_silent_anew_from_then_on() {
    let mut silence = Silence::new(Awaited::NextEvent, at(0));

    silence.hear(at(900));
    silence.hear(at(300));

    assert_eq!((silence.check_at(), silence.lasted(at(1_000))), (at(2_100), at(100)));
    assert_eq!(silence.check(at(1_200), || Ok(())), Verdict::Wait);
}

/// Guards against a host that stood still, and takes what it could not hear for silence: it gives servers as long again.
#[test]
fn time_in_which_the_host_stood_still_is_no_silence() {
    let mut silence = Silence::new(Awaited::NextEvent, at(0));

    let after_stall = silence.check(at(1_900), || Ok(()));
    let next = silence.check_at();

    assert_eq!((after_stall, next, silence.lasted(next)), (Verdict::Wait, at(2_600), at(1_900)));
    assert_eq!(silence.check(next, || Ok(())), Verdict::Replace);
}

/// Guards against a host whose timers are always late, for example for want of processor time, and which therefore never looks
/// for another server.
#[test]
fn a_host_whose_timers_are_always_late_replaces_a_server_all_the_same() {
    let mut silence = Silence::new(Awaited::NextEvent, at(0));

    let verdicts: Vec<_> = (0..2).map(|_| silence.check(silence.check_at() + at(40), || Ok(()))).collect();

    assert_eq!(verdicts, [Verdict::Wait, Verdict::Replace]);
}

/// Guards against more runs than a route allows while attempts are in progress side by side.
#[test]
fn attempts_in_progress_count_as_runs() {
    let mut attempts = Attempts::new(true, 2, at(4_000));
    let mut single = Attempts::new(false, 2, at(4_000));
    attempts.begin();
    single.begin();

    let beside_one = attempts.may_begin_beside(at(1_000));
    attempts.begin();
    let beside_two = attempts.may_begin_beside(at(1_000));
    attempts.record_failure(Failure::Refused);
    let after_refusal = attempts.may_begin_beside(at(1_000));

    assert_eq!((beside_one, beside_two), (Ok(()), Err(StopReason::Attempts)));
    assert_eq!((after_refusal, attempts.may_begin_beside(at(4_000))), (Ok(()), Err(StopReason::Deadline)));
    assert_eq!(single.may_begin_beside(at(1_000)), Err(StopReason::NotRepeatable));
    assert!(!attempts.cannot_have_run());
}
