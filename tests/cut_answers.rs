//! Answers to the clients of `serve` that end at any byte: of engines, of services behind a router, and of the platform's objects.

#[path = "fixture/routers.rs"]
mod fixture;
#[path = "support/relay.rs"]
mod relay_support;
#[path = "support/wire.rs"]
mod wire;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use cranberrytally::{
    client::Client,
    engine::{ChatCall, EngineClient, answer::AnswerStream},
    objects::{OpenedWatch, Platform, WriteOutcome},
};
use fixture::object;
use tokio::{io::AsyncWriteExt, net::TcpStream};
use wire::{ScriptStep, Server, chunk, is_complete, read_answer, status};

const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer: head, body, and whether it ends with its connection.
type Answer = (String, String, bool);

/// Answers with a length, in chunks, and with neither.
fn framings(content_type: &str, body: &str) -> [Answer; 3] {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n");
    let (start, end) = body.split_at(body.len() / 2);
    [
        (format!("{head}Content-Length: {}\r\n\r\n", body.len()), body.to_owned(), false),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            chunk(start) + &chunk(end) + "0\r\n\r\n",
            false,
        ),
        (format!("{head}\r\n"), body.to_owned(), true),
    ]
}

/// Each beginning of an answer with its length, closed and reset.
fn cuts((head, body, _): &Answer) -> impl Iterator<Item = (usize, bool, ScriptStep)> {
    let whole = head.clone() + body;
    (0..whole.len()).flat_map(move |length| {
        let begun = whole[..length].to_owned();
        let closed = ScriptStep::WriteAndClose(begun.clone());
        [(length, false, closed), (length, true, ScriptStep::WriteAndReset(begun))]
    })
}

/// Guards against an event that breaks off and is passed on, and against an answer that is complete without its last event.
#[tokio::test]
async fn an_event_that_breaks_off_is_none() {
    let events = ["{\"a\":1}", "{\"b\":2}", "[DONE]"];
    let text: String =
        events.iter().enumerate().map(|(i, data)| format!("id: r/{i}\ndata: {data}\n\n")).collect();
    for answer in framings("text/event-stream", &text) {
        for (length, is_reset, step) in cuts(&answer) {
            let server = Server::start("engine", [step]).await;
            let engine = EngineClient::new(Client::default(), server.addr);
            let body = Bytes::from_static(b"{}");
            let call = ChatCall { request: "r", chat: "c", workspace: "w", priority: 1, body };

            let mut got = Vec::new();
            if let Ok(res) = engine.chat(&call).await {
                let mut stream = AnswerStream::new(res.into_body(), STALL_TIMEOUT);
                while let Ok(event) = stream.next().await {
                    got.push(event.data.unwrap_or_default());
                }
            }

            let body = length.checked_sub(answer.0.len()).map_or("", |length| &answer.1[..length]);
            let arrived = body.matches("\n\n").count();
            let case = format!("{length} bytes of {answer:?}, reset: {is_reset}: {got:?}");
            assert_eq!(server.requests().len(), 1, "{case}");
            assert!(got == events[..got.len()] && got.len() <= arrived, "{case}");
            assert!(is_reset || got.len() == arrived, "{case}");
        }
    }
}

/// Guards against a load, a list, an object or a write of which a part counts as the whole.
#[tokio::test]
async fn a_part_of_a_call_s_answer_counts_for_nothing() {
    let obj = object("Engine", "engine-1", "model", serde_json::json!({ "address": "127.0.0.1:1" }));
    let list = serde_json::json!({ "version": 3, "items": [obj] }).to_string();
    for answer in framings("application/json", &list) {
        for (length, is_reset, step) in cuts(&answer) {
            let server = Server::start("platform", [step]).await;
            let (platform, engine) =
                (Platform::new(server.addr), EngineClient::new(Client::default(), server.addr));

            let list = platform.list().await;
            let got = platform.get("Engine", "engine-1").await;
            let written = platform.put(&obj).await;
            let (load, events) = (engine.load().await, engine.events(0).await);

            let case = format!("{length} bytes of {answer:?}, reset: {is_reset}");
            assert!(list.is_err() && got.is_err() && load.is_err() && events.is_err(), "{case}");
            assert!(matches!(written, Ok(WriteOutcome::Unknown)), "{case}: {written:?}");
            assert_eq!(server.requests().len(), 5, "{case}");
        }
    }
}

/// Guards against a service's answer that ends early and is whole for the caller of a router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_of_a_service_s_answer_is_not_whole() {
    let next = Arc::new(Mutex::new(ScriptStep::Hang));
    let step = next.clone();
    let server = Server::reacting("app", move |_, _| step.lock().unwrap().clone()).await;
    let select = serde_json::json!({ "matchLabels": { "role": "app" } });
    let (_, store) = fixture::platform([
        object("Workspace", "phrasebook", "", serde_json::json!({})),
        fixture::backend("app-1", "app", server.addr),
        object("Service", "cards", "", serde_json::json!({ "engines": select, "nonIdempotent": ["/"] })),
    ]);
    let routers = fixture::routers(1, &store, 3).await;
    let mut number = 0;
    for answer in framings("text/plain", "a body of a card") {
        for (length, is_reset, step) in cuts(&answer) {
            number += 1;
            *next.lock().unwrap() = step;
            let content = format!("content {number}");
            let request = format!(
                "POST /services/cards/x HTTP/1.1\r\nHost: r\r\nX-Workspace: phrasebook\r\nContent-Length: {}\r\n\r\n{content}",
                content.len()
            );

            let mut caller = TcpStream::connect(routers[0].addr()).await.unwrap();
            caller.write_all(request.as_bytes()).await.unwrap();
            let got = read_answer(&mut caller).await;

            let may_be_whole = answer.2 && !is_reset && length >= answer.0.len();
            let is_success = status(&got) == 200 && is_complete(&got);
            let case = format!("{length} bytes of {answer:?}, reset: {is_reset}: {got}");
            let reached = server.requests().iter().filter(|request| request.ends_with(&content)).count();
            assert_eq!((is_success, reached), (may_be_whole, 1), "{case}");
        }
    }
    routers.into_iter().for_each(|router| router.close());
    store.close();
}

/// Guards against a change that breaks off and is applied, or ends a watch with another error than its end.
#[tokio::test]
async fn a_change_that_breaks_off_is_none() {
    let obj = object("Engine", "engine-1", "model", serde_json::json!({ "address": "127.0.0.1:1" }));
    let line = serde_json::json!({ "version": 4, "deleted": false, "object": obj }).to_string() + "\n";
    for answer in framings("application/json", &line.repeat(2)) {
        for (length, is_reset, step) in cuts(&answer) {
            let server = Server::start("platform", [step]).await;

            let mut changes = 0;
            if let Ok(OpenedWatch::Open(mut watch)) = Platform::new(server.addr).watch(3).await {
                while let Some(change) = watch.next().await.unwrap() {
                    assert_eq!(change.object, obj);
                    changes += 1;
                }
            }

            let body = length.checked_sub(answer.0.len()).map_or("", |length| &answer.1[..length]);
            let arrived = body.matches("}\n").count();
            let case = format!("{length} bytes of {answer:?}, reset: {is_reset}: {changes}");
            assert!(changes == arrived || is_reset && changes < arrived, "{case}");
        }
    }
}
