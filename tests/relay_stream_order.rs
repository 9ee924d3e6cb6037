//! The order of a stream's events for its caller, however servers break off, go on or count.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{sync::Arc, time::Duration};

use cranberrytally::{
    relay::{
        follow::BackendsUpdate,
        origins::{
            Continuation, Discontinued, Origins, StreamKey, questions::Certainty, service_tag, version_tag,
        },
    },
    schema::fleet::{Backend, Backends, Configuration},
};

use wire::{
    Host, ScriptStep, Server, chunk, configuration, event, event_with_data, events, header, is_complete,
    request, status, stream_head,
};

/// Chunked stream of these texts, one chunk each, with its end.
fn whole(texts: &[String]) -> String {
    stream_head() + &texts.iter().map(|text| chunk(text)).collect::<String>() + "0\r\n\r\n"
}

/// Request that takes a stream up after an event.
fn resumption(after: u64) -> String {
    request("/stream/x", "").replace("Key:", &format!("Last-Event-Id: {after}\r\nKey:"))
}

/// Server that goes on after the event that it is asked for, up to the event `last`.
async fn counting(id: &str, last: u32) -> Server {
    Server::reacting(id, move |req, _| {
        let after: u32 = header(req, "last-event-id").map_or(0, |after| after.parse().unwrap());
        ScriptStep::Write(whole(&(after + 1..=last).map(event).collect::<Vec<_>>()))
    })
    .await
}

/// Event after which each request at a server goes on.
fn resumed_after(server: &Server) -> Vec<Option<String>> {
    server.requests().iter().map(|r| header(r, "last-event-id")).collect()
}

/// Guards against an event that is missing or comes twice since its server ended in the middle of it.
#[tokio::test]
async fn an_event_that_is_cut_at_any_byte_comes_once() {
    let (second, last) = (event(11), event_with_data(12, "e12"));
    let crlf = "id: 12\r\ndata: e12\r\n\r\n";
    let keep_alive = ":\n\n".to_owned() + &last[..6];
    let cuts = (0..last.len()).map(|at| &last[..at]).chain([crlf, &keep_alive]);
    for cut in cuts {
        for split_at in [0, cut.len().min(5)] {
            let (one, other) = cut.split_at(split_at);
            let pieces: String =
                [&second, one, other].iter().filter(|p| !p.is_empty()).map(|p| chunk(p)).collect();
            let begun = stream_head() + &pieces;
            for ends in [ScriptStep::WriteAndReset(begun.clone()), ScriptStep::WriteAndClose(begun)] {
                let first = Server::start("i-1", [ends]).await;
                let rest = whole(&[last.clone(), event(13)]);
                let other = Server::start("i-2", [ScriptStep::Write(rest)]).await;
                let host = Host::with_servers(&[&first, &other]).await;

                let answer = host.call(&request("/stream/x", "")).await;

                assert_eq!(events(&answer), ["e11", "e12", "e13"], "{cut:?}");
                assert!(is_complete(&answer), "{cut:?}: {answer}");
                assert_eq!(resumed_after(&other), [Some("11".into())], "{cut:?}");
            }
        }
    }
}

/// Guards against a stream that is complete since the length which its server states ends within an event, and against the bytes
/// after it in the answer to the next request.
#[tokio::test]
async fn a_stream_whose_length_ends_within_an_event_goes_on_elsewhere() {
    let text = event(1) + &event(2) + &event(3);
    let length = text.len() - 4;
    let head = stream_head().replace("Transfer-Encoding: chunked", &format!("Content-Length: {length}"));
    let first = Server::start("i-1", [ScriptStep::Write(head + &text)]).await;
    let second = Server::start("i-2", [ScriptStep::Write(whole(&[event(3), event(4)]))]).await;
    let host = Host::with_servers(&[&first, &second]).await;

    let answers = [host.call(&request("/stream/x", "")).await, host.call(&request("/stream/x", "")).await];

    for answer in answers {
        assert_eq!(events(&answer), ["e1", "e2", "e3", "e4"]);
        assert!(is_complete(&answer), "{answer}");
    }
}

/// Guards against a stream that a caller takes up and that goes on at another event than the next one: the caller would miss
/// events or get some twice.
#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_at_the_next_event_only() {
    for number in [1, 2, 4, 30] {
        let wrong = whole(&[event(number), event(number + 1)]);
        let first = Server::start("i-1", [ScriptStep::Write(wrong.clone())]).await;
        let sound = Server::start("i-2", [ScriptStep::Write(whole(&[event(3), event(4)]))]).await;
        let other = Server::start("i-3", [ScriptStep::Write(wrong)]).await;

        let helped = Host::with_servers(&[&first, &sound]).await.call(&resumption(2)).await;
        let refused = Host::with_servers(&[&first, &other]).await.call(&resumption(2)).await;

        assert_eq!((events(&helped), is_complete(&helped)), (vec!["e3", "e4"], true), "{number}: {helped}");
        assert_eq!((status(&refused), events(&refused)), (502, vec![]), "{number}: {refused}");
    }
}

/// Guards against a host that ends at the highest number that an event can have.
#[tokio::test]
async fn nothing_follows_the_highest_number() {
    let server = Server::start("i-1", [ScriptStep::Write(whole(&[event(0), event(1)]))]).await;
    let host = Host::with_servers(&[&server]).await;

    let answer = host.call(&resumption(u64::MAX)).await;

    assert_eq!((status(&answer), events(&answer)), (502, vec![]), "{answer}");
}

/// Guards against events that come twice or in another order, since a server counts anew or sends some again.
#[tokio::test]
async fn a_stream_whose_numbers_do_not_increase_goes_on_elsewhere() {
    let again = [
        vec![event(1), event(2), event(1)],
        vec![event(1), event(2), event(2)],
        vec![event(1), event(2), event(2) + &event(3)],
        vec![event(1), event(2), event(3) + &event(3)],
        vec![event(1), event(2), event(3) + &event(1)],
    ];
    for texts in again {
        let first = Server::start("i-1", [ScriptStep::Write(whole(&texts))]).await;
        let second = counting("i-2", 4).await;
        let host = Host::with_servers(&[&first, &second]).await;

        let answer = host.call(&request("/stream/x", "")).await;

        assert_eq!(events(&answer), ["e1", "e2", "e3", "e4"], "{texts:?}");
        assert!(is_complete(&answer), "{texts:?}: {answer}");
    }
}

/// Guards against a stream that is complete before its last event, since a server answers its resumption with nothing that is a
/// stream.
#[tokio::test]
async fn a_stream_does_not_end_with_an_empty_answer_that_is_none() {
    let head = "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: s1\r\n";
    let none = [
        head.replace("{status}", "204 No Content") + "\r\n",
        head.replace("{status}", "202 Accepted") + "Content-Length: 0\r\n\r\n",
        head.replace("{status}", "200 OK") + "Content-Length: 0\r\n\r\n",
        head.replace("{status}", "200 OK") + "Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer_without_events in none {
        let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
        let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun)]).await;
        let empty = Server::start("i-2", [ScriptStep::Write(answer_without_events.clone())]).await;

        let answer = Host::with_servers(&[&first, &empty]).await.call(&request("/stream/x", "")).await;

        assert_eq!(events(&answer), ["e1", "e2"], "{answer_without_events}");
        assert!(!is_complete(&answer), "{answer_without_events}: {answer}");
        let taken_up = Host::with_servers(&[&empty]).await.call(&resumption(2)).await;
        assert_eq!(status(&taken_up), 502, "{answer_without_events}: {taken_up}");
    }
}

/// Guards against a stream that is cut though its last event has arrived, since nothing is left for another server.
#[tokio::test]
async fn a_stream_that_breaks_off_after_its_last_event_ends_with_an_empty_rest() {
    let begun = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    let first = Server::start("i-1", [ScriptStep::WriteAndReset(begun)]).await;
    let empty = Server::start("i-2", [ScriptStep::Write(whole(&[]))]).await;
    let host = Host::with_servers(&[&first, &empty]).await;

    let answer = host.call(&request("/stream/x", "")).await;

    assert_eq!((events(&answer), is_complete(&answer)), (vec!["e1", "e2"], true), "{answer}");
}

/// A host that has seen servers of these versions of the service `app` all the time.
fn origins(timeout: Duration, versions: &[&str]) -> Origins {
    let mut origins = Origins::new(Duration::ZERO);
    origins.set_timeout(timeout);
    observe(&mut origins, Duration::ZERO, versions);
    origins
}

fn observe(origins: &mut Origins, now: Duration, versions: &[&str]) {
    let servers: Vec<(Arc<str>, Arc<str>)> = versions.iter().map(|v| ("app".into(), (*v).into())).collect();
    origins.observe(now, servers.iter().map(|(service, version)| (service, version)));
}

fn stream(n: u64) -> StreamKey {
    StreamKey::new("travel", &n.to_string()).unwrap()
}

fn begin(origins: &mut Origins, n: u64, version: &str) {
    origins.begin(stream(n), &Continuation { service: "app".into(), version: version.into() }, 1);
}

/// Where the stream `n` goes on, whose route leads to `app`, if other hosts say this.
fn goes_on(
    origins: &Origins,
    now: Duration,
    n: u64,
    certainty: Certainty,
) -> Result<Continuation, Discontinued> {
    origins.continuation(now, Some(stream(n)), &["app"], true, certainty)
}

/// Guards against a stream that goes on at another version since it was evicted, was never told, or has the identifier of another
/// one.
#[test]
fn a_stream_that_was_forgotten_or_is_ambiguous_goes_on_nowhere() {
    let secs = Duration::from_secs;
    let mut origins = origins(secs(10), &["v1", "v2"]);
    begin(&mut origins, 1, "v1");
    let known = goes_on(&origins, secs(1), 1, Certainty::Unsure);
    origins.end(stream(1));
    let ended = goes_on(&origins, secs(1), 1, Certainty::Unsure);
    (2..200_000).for_each(|n| begin(&mut origins, n, "v2"));
    begin(&mut origins, 199_999, "v1");

    let [v1, v2] = ["v1", "v2"].map(|version| Certainty::Only(version_tag("app", version)));
    assert_eq!(known.as_ref().map(|at| &*at.version), Ok("v1"));
    assert_eq!(ended, known, "a caller may not have got the end");
    for certainty in [Certainty::Unsure, v1, v2, Certainty::Several] {
        let forgotten = goes_on(&origins, secs(1), 1, certainty);
        let never_told = goes_on(&origins, secs(1), 200_000, certainty);
        let ambiguous = goes_on(&origins, secs(1), 199_999, certainty);
        assert_eq!((forgotten, never_told), (Err(Discontinued::Unknown), Err(Discontinued::Unknown)));
        assert_eq!(ambiguous, Err(Discontinued::Conflicting));
    }
    assert_eq!(origins.certainty(secs(1), service_tag("app"), true), Certainty::Several);
}

/// Guards against a stream that goes on at another version since the timeouts were shortened after it began.
#[test]
fn a_version_counts_for_the_timeouts_under_which_its_streams_began() {
    let secs = Duration::from_secs;
    let mut origins = origins(secs(30), &["v1"]);
    observe(&mut origins, secs(1), &["v1", "v2"]);
    observe(&mut origins, secs(2), &["v2"]);
    origins.set_timeout(secs(5));

    let mut went_on = Vec::new();
    for at in 2..60 {
        observe(&mut origins, secs(at), &["v2"]);
        went_on.extend(goes_on(&origins, secs(at), 1, Certainty::Unsure).is_ok().then_some(at));
    }

    assert!(went_on.first().is_some_and(|at| (31..=40).contains(at)), "{went_on:?}");
}

/// Guards against doubt that ends early at a host that has just started, which learns of it before it knows the timeouts.
#[test]
fn doubt_lasts_for_the_timeouts_that_are_learned_after_it() {
    let secs = Duration::from_secs;
    let mut origins = Origins::new(Duration::ZERO);
    origins.doubt(Duration::ZERO, ["app"].into_iter());
    origins.set_timeout(secs(30));

    let mut went_on = Vec::new();
    for at in 0..60 {
        observe(&mut origins, secs(at), &["v2"]);
        went_on.extend(goes_on(&origins, secs(at), 1, Certainty::Unsure).is_ok().then_some(at));
    }

    assert!(went_on.first().is_some_and(|at| (30..=40).contains(at)), "{went_on:?}");
}

/// Routes of streams in one configuration after the other, by prefix and service.
type Steps<'a> = &'a [&'a [(&'a str, &'a str)]];

fn configurations(steps: Steps<'_>) -> Vec<Configuration> {
    let stream = configuration().routes[2].clone();
    let route = |(prefix, service): &(&str, &str)| {
        let mut route = stream.clone();
        (route.prefix, route.shares[0].service) = ((*prefix).into(), (*service).into());
        route
    };
    let configuration = |(version, routes): (u64, &&[(&str, &str)])| Configuration {
        version,
        routes: routes.iter().map(route).collect(),
        ..configuration()
    };
    (1..).zip(steps).map(configuration).collect()
}

/// Guards against a stream that goes on at another service, since its path belongs to another route now, or to one that was removed
/// and added again.
#[tokio::test]
async fn a_stream_does_not_go_on_where_another_route_leads() {
    let [app, moved] = [counting("i-1", 9).await, counting("i-2", 9).await];
    let (all, all_moved) = (("/stream/", "app"), ("/stream/", "moved"));
    let (part, part_moved, other) = (("/stream/x/", "app"), ("/stream/x/", "moved"), ("/once/", "app"));
    let cases: [(&str, Steps<'_>, bool); 11] = [
        ("stays", &[&[all], &[all, other]], true),
        ("is added for the same service", &[&[all], &[all, part]], true),
        ("is added for another service", &[&[all], &[all, part_moved]], false),
        ("is moved to the service around it", &[&[all, part_moved], &[all, part]], false),
        ("is removed from within the same service", &[&[all, part], &[all]], true),
        ("is removed from within another service", &[&[all, part_moved], &[all]], false),
        ("is removed and added", &[&[all], &[other], &[all, other]], true),
        ("is removed and added for another service", &[&[all], &[other], &[all_moved, other]], false),
        ("is removed, and a part of it is added", &[&[all], &[other], &[part_moved, other]], false),
        ("is removed, and one around it is added", &[&[part], &[other], &[all_moved, other]], false),
        ("is moved around one that stays", &[&[all, part], &[all_moved, part]], false),
    ];
    for (name, steps, expected) in cases {
        let host = Host::without_configuration().await;
        let listed = |server: &Server, service: &str| Backend {
            service: service.into(),
            version: "v1".into(),
            ..wire::backend(&server.id, server.addr)
        };
        let items = vec![listed(&app, "app"), listed(&moved, "moved")];
        let list = Backends { revision: 1, items, ..Backends::default() };
        host.relay.update_backends(BackendsUpdate::List(list), None, "test");
        for cfg in configurations(steps) {
            host.relay.set_configuration(cfg, "test");
        }

        let answer = host.call(&resumption(2).replace("/stream/x", "/stream/x/y")).await;

        assert_eq!(status(&answer) == 200, expected, "a route that {name}: {answer}");
        assert!(expected || answer.contains("stream_version_unknown"), "a route that {name}: {answer}");
    }
}
