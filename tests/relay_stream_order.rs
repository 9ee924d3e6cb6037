//! The order of a stream's events for its caller, however servers break off, go on or count.

#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use wire::{
    Host, ScriptStep, Server, chunk, event, event_with_data, events, header, is_complete, request,
    stream_head,
};

/// Chunked stream of these texts, one chunk each, with its end.
fn whole(texts: &[String]) -> String {
    stream_head() + &texts.iter().map(|text| chunk(text)).collect::<String>() + "0\r\n\r\n"
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
